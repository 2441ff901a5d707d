Feature: Connections between VMs

  Scenario: both ends prove that they hold the fleet key
    When a dialer and a listener with one key shake hands
    Then 3 frames pass in order

  Scenario Outline: <harm> is refused
    When a dialer and a listener with one key shake hands
    And a frame is <harm>
    Then the listener refuses it

    Examples:
      | harm        |
      | changed     |
      | repeated    |
      | left out    |
      | far too big |

  Scenario Outline: a <end> without the key gets nowhere
    When a <end> with another key shakes hands
    Then the handshake fails

    Examples:
      | end      |
      | dialer   |
      | listener |

  Scenario: messages pass over TLS when the settings name certificates
    Given two channels with certificates of one authority
    When one sends the other a message
    Then it arrives once

  Scenario: a channel without a certificate gets nowhere
    Given two channels of which one has no certificate
    When one sends the other a message
    Then nothing arrives

  Scenario: a connection that goes silent is found and made anew
    Given two channels through a middle that can go silent
    When the middle goes silent and lets new connections pass
    Then a message arrives on a new connection
