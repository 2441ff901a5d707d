Feature: The platform's names stay in one folder

  Scenario: no other module of the daemon holds a field, header or path of the platform
    When the sources outside the platform folder are searched
    Then none of the platform's own names is found

  Scenario: only the application knows the folder
    When the imports of the daemon are searched
    Then only the application imports the platform folder

  Scenario: settings of the platform are read, and fields that we don't know are ignored
    Given the platform's settings with a field that nobody knows
    Then the deployment has its addresses, bounds and failure domains

  Scenario Outline: settings without <field> are refused, naming the file and the remedy
    Given the platform's settings without <field>
    Then they are refused with a remedy

    Examples:
      | field         |
      | nodeName      |
      | listen        |
      | ephemeralPorts |
      | platform      |
