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

  # Guards against a bound that a sound sender meets.
  Scenario: A message beyond the bound of unfinished ones is taken while there are no others
    Given a replica with room for 1 MB of unfinished messages
    When a caller sends it a turn of 40 MB
    Then that turn is acknowledged

  # Guards against unfinished messages that are held for as long as their connections, and against the wrong one being closed.
  Scenario: Of unfinished messages beyond the bound, those of connections that sent no whole message go first
    Given a replica with room for 1 MB of unfinished messages
    When 3 callers ask it, and then each sends 300 KB of a turn of 400 KB
    And 5 connections send 100 KB of a message of 60 MB each
    Then at least 4 of the 5 connections are closed
    And the 3 callers get their turns acknowledged once they send the rest

  # Guards against frames that are lost or mixed up where chunks end inside them.
  Scenario: Frames come whole wherever the stream is cut
    Then frames of any sizes, cut anywhere, are read as they were written, seeds 1 to 400
