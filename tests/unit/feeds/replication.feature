Feature: Copies of the store's rows that VMs fetch from each other

  # Diop inc1: VMs kept sending requests to a server that was removed before the VM they fetched from had started.
  Scenario: a removal is not lost where it is fetched from a VM that started after it
    Given a VM that knows backend servers "s0" and "s1"
    When server "s1" is removed, and another VM starts and reads the store
    And the first VM fetches the changes from the other VM
    Then the first VM knows the servers "s0"

  Scenario: the end of an evacuation is not lost where it is fetched from a VM that started after it
    Given a VM that knows the evacuation of failure domain "b"
    When the evacuation ends, and another VM starts and reads the store
    And the first VM fetches the changes from the other VM
    Then the first VM has no evacuated failure domain

  Scenario: a row that was added and removed while the source was not reading is removed
    Given two VMs that know backend servers "s0"
    When server "s1" is added and only the first VM follows the store
    And server "s1" is removed, and the other VM reads the store again
    And the first VM fetches the changes from the other VM
    Then the first VM knows the servers "s0"

  Scenario: VMs that fetch in any order from any VM end with the rows of the store
    Then after 400 random orders of changes, reads, starts and fetches all VMs have its rows

  # Issue 43: a read that was stale and stated the newest revision made VMs miss changes for good.
  Scenario Outline: VMs whose reads are stale by up to three seconds and state <revision> revision end with the rows of the store
    Then after 500 random orders in which stale reads state <revision> revision all VMs have its rows

    Examples:
      | revision   |
      | their own  |
      | the newest |

  Scenario Outline: VMs end with the rows of a store that goes back to copies, where reads state <revision> revision
    Then after 200 random orders in which stale reads state <revision> revision and the store goes back to copies all VMs have its rows

    Examples:
      | revision   |
      | their own  |
      | the newest |

  Scenario Outline: a removal that a stale read missed is not lost, where the read was <occasion>
    Given a VM that knows backend servers "s0" and "s1"
    When server "s1" is removed, and another VM's <occasion> shows the rows of 3 s ago at the newest revision
    And the first VM fetches the changes from the other VM
    Then both VMs know the servers "s0" within 8 s, without another change

    Examples:
      | occasion                   |
      | read at its start          |
      | fall-back of a fetch       |
      | read after a lost history  |

  Scenario: a reader whose history was lost goes on following the store at once
    Given a VM that reads a store whose history is lost
    When server "s1" is added 1.6 s later
    Then the VM knows it within 0.5 s

  Scenario: a change is sent to another VM without the rows that it has
    Given two VMs that know 300 backend servers
    When server "s1" is added and only the first VM follows the store
    And the second VM fetches the changes from the first VM
    Then 1 row was sent

  Scenario: a release state that was written before a VM's own one reaches the VMs that fetch from it
    Given two VMs that know no release
    When the second VM's store gets the state of service "a", and the first VM writes that of "b"
    And the second VM fetches the release states from the first VM
    Then the second VM knows the release states of "a" and "b"

  # Each silent source was waited for in turn, one table after the other.
  Scenario: a VM whose nearest sources are silent gets its rows from the store soon
    Given a VM that fetches two tables, and whose two sources are silent
    When both tables change, and the VM hears of their new positions
    Then it has both changes within 1.2 s

  Scenario: a VM whose nearest source is silent gets its rows from the next one, without a call to the store
    Given a VM that fetches two tables, and whose first source is silent
    When both tables change, and the VM hears of their new positions
    Then it has both changes within 0.8 s
    And the store was not called

  Scenario Outline: a request for rows after <what> is invalid
    Then a request for rows after <what> is not decoded

    Examples:
      | what                       |
      | a number of 5000 digits    |
      | a digit that is no decimal |
      | a negative number          |
      | nothing                    |
