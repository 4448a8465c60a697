Feature: Bounds on the connections to a replica
  # Guards against a crowd that keeps gateways and other replicas out.
  Scenario: Silent connections make room for others
    Given a replica with room for 6 connections
    When 3 callers ask it, and then 20 connections are opened that stay silent
    Then another caller is answered
    And the 3 callers are answered on their connections
    And at most 6 connections to it are open

  Scenario: A connection is refused where all others have sent a message
    Given a replica with room for 6 connections
    When 6 callers ask it
    Then the next connection is closed
    And the 6 callers are answered on their connections
