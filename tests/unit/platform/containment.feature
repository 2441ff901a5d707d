Feature: The platform's names are only used in the platform package

  Scenario: no other module contains a field, header or path of the platform
    When the sources outside the platform package are searched
    Then they contain none of the platform's own names

  Scenario: only the application imports the platform package
    When the imports of the daemon are searched
    Then only the application imports the platform package

  Scenario: the platform's settings are read, and unknown fields are ignored
    Given the platform's settings with an unknown field
    Then the deployment has its addresses, bounds and failure domains

  Scenario Outline: settings without <field> are rejected with the file name and a hint
    Given the platform's settings without <field>
    Then they are rejected with the file name and a hint

    Examples:
      | field          |
      | nodeName       |
      | listen         |
      | ephemeralPorts |
      | platform       |
