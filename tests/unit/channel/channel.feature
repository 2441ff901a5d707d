Feature: Connections between VMs

  Scenario: both ends authenticate by the fleet key
    When a dialer and a listener with the same key complete the handshake
    Then 3 frames arrive in order

  Scenario Outline: a frame that is <manipulation> is rejected
    When a dialer and a listener with the same key complete the handshake
    And a frame is <manipulation>
    Then the listener rejects the connection

    Examples:
      | manipulation |
      | changed      |
      | repeated     |
      | left out     |
      | far too big  |

  Scenario Outline: a <end> with another key is rejected
    When a <end> with another key attempts the handshake
    Then the handshake fails

    Examples:
      | end      |
      | dialer   |
      | listener |

  Scenario: messages are sent over TLS if the settings name certificates
    Given two channels with certificates of one CA
    When one channel sends the other a message
    Then the message arrives once

  Scenario: a channel without a certificate can't connect
    Given two channels, one of them without a certificate
    When one channel sends the other a message
    Then no message arrives

  Scenario: a connection that stops delivering data is detected and replaced
    Given two channels connected through a proxy that can stop forwarding
    When the proxy stops forwarding on open connections but not on new ones
    Then a message arrives on a new connection
