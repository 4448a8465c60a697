Feature: Spreading the configuration
  Scenario: What changed since a revision leads to the same configuration as everything
    Then for any edits, the changes since any kept revision lead to the newest configuration

  Scenario: Bytes of messages
    Then any bytes decode to a message or to a clear error
    And any message of a call survives its bytes
