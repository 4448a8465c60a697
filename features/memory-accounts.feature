Feature: Accounting of the bytes that a gateway holds for clients and runners
  Bytes that are read, collected or not sent yet are counted. At the thresholds of the budget, in this order, new bodies
  wait, new requests are refused, and the slowest readers that hold the most bytes are cut.

  Scenario: All held bytes are released
    Then in any order of allocations and releases, the accounts add up to the bytes held

  Scenario: Levels are entered at their thresholds in order, and left with a margin
    Given a budget of 1000000 bytes
    When the bytes held rise to 590000
    Then the level is "calm", new requests are taken, new bodies are read
    When the bytes held rise to 610000
    Then the level is "wait", new requests are taken, new bodies wait
    When the bytes held rise to 760000
    Then the level is "refuse", new requests are refused, new bodies wait
    When the bytes held rise to 1000000
    Then the level is "cut", new requests are refused, new bodies wait
    When the bytes held rise to 690000
    Then the level is "refuse", new requests are refused, new bodies wait
    When the bytes held rise to 530000
    Then the level is "calm", new requests are taken, new bodies are read
    And a log line names each level that was entered, and the bytes of each account

  Scenario: All waiting bodies are read once memory is available
    Given a budget of 1000000 bytes
    When the bytes held rise to 700000
    And 3 bodies of new requests arrive
    And the bytes held rise to 100000
    Then 3 of them are read

  Scenario: Slow readers are cut in the order of bytes times idle time, and never one that reads
    Given a budget of 1000000 bytes
    And readers with bytes held and time since they last read:
      | reader | bytes  | milliseconds |
      | fast   | 400000 | 10           |
      | large  | 300000 | 3000         |
      | small  | 1000   | 9000         |
      | slow   | 150000 | 800          |
    When the other bytes held rise to 200000
    Then the readers cut are "large"

  Scenario: Cutting by bytes and time ends the fewest answers of 300 clients, 20 of which hold most of the bytes
    Then cutting by bytes and time ends at most a tenth of the answers that cutting by time alone ends

  Scenario: A client that reads nothing is cut after a timeout, which is shorter while memory is short
    Then a client whose runner waits for it is cut after 5 seconds without reading, and after 2 while memory is short

  Scenario: A client that reads a little is never cut, and its runner is read at least every 1.5 seconds
    Then a client that reads something every 4 seconds is not cut in 5 minutes, and its runner is never left unread longer than 1500 ms

  Scenario: A turn to be stored is read to its end, and the complete answer is kept for its client
    Then a client whose turn will be stored is not cut while the turn arrives, but 20 seconds after it is complete

  Scenario: Queued bytes are sent to a client completely and in order, and the answer ends once
    Then any bytes reach a client in order, whenever it reads

  # Guards against a long answer whose last bytes keep the memory of all of it, which no account counts.
  Scenario: What a client has read of a long answer is not held for the rest
    Then each write of an answer of 4000000 bytes keeps at most 65536 bytes in memory, and all of it reaches the client

  Scenario: A runner that reads nothing is sent no more than its limit
    Then a runner that reads nothing may be sent requests until 262144 bytes are unsent, and again once it reads

  Scenario: A runner that replaces another is paused as soon as its client is behind
    Then a client that is behind pauses the first runner, and the next one after the same number of bytes

  Scenario: The silence of a runner is watched by a single timer, even if the watch was paused during a probe
    Then a watch that is paused and resumed during a probe probes once in each silence

  Scenario: Bytes that wait for a connection don't count against the runner
    Then 30 bodies of 90000 bytes that wait for connections do not block a runner, and count from their connections on

  Scenario: Waiting bodies are admitted in batches, in order of arrival, and none of a finished request
    Given a budget of 1000000 bytes
    When the bytes held rise to 700000
    And 100 bodies of 30000 bytes arrive, 20 of which are cancelled
    And the bytes held rise to 100000
    Then no more than 16 of them are read together, and the threshold is exceeded by no more than those
    And all but the cancelled ones are read once there is memory for each

  Scenario: A partial error body is not stored with a turn
    Then a turn whose first attempt broke off in an error's body is stored with only the events of the second attempt

  # Guards against buffers that are of no use any more, and fill the memory until V8 collects them.
  Scenario: Buffers that wait to be collected stay within their allowance
    Given a process whose heap collects no buffers by itself, with an allowance of 16 MB for them
    When 1000 MB are received, and each read is dropped at once
    Then at most 18 MB of buffers wait
    And only young ones were collected
    When 1000 MB are received, and 10 MB of them are always in use
    Then at most 18 MB of buffers wait
    When 100 MB are received, and all of them stay in use
    Then all buffers were collected at most 7 times for that
