Feature: An account of the bytes that a gateway holds for others
  What is read, gathered or not taken is counted. At the marks of the budget new bodies wait, new requests are refused,
  and the slowest readers that hold the most are cut, in this order.

  Scenario: What was held is given back whole
    Then whatever is held and given back in any order, the accounts add up to what is held

  Scenario: The marks are met in their order and left with a margin
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
    And a line in the log names each level that was met, and how much each account held

  Scenario: Bodies that wait are read once there is room, all of them
    Given a budget of 1000000 bytes
    When the bytes held rise to 700000
    And 3 bodies of new requests come
    And the bytes held rise to 100000
    Then 3 of them are read

  Scenario: Slow readers are cut, the largest that wait longest first, and never one that reads
    Given a budget of 1000000 bytes
    And readers that hold and last took something:
      | reader | bytes  | milliseconds |
      | fast   | 400000 | 10           |
      | large  | 300000 | 3000         |
      | small  | 1000   | 9000         |
      | slow   | 150000 | 800          |
    When the bytes held beside them rise to 200000
    Then the readers cut are "large"

  Scenario: Weighed on 300 clients that read nothing, 20 of which hold most: cutting by bytes and time ends the fewest
    Then cutting by bytes and time ends at most a tenth of the answers that cutting by time alone ends

  Scenario: A client that takes nothing is cut in a stated time, sooner while memory is short
    Then a client whose runner waits for it is cut after 5 seconds without taking, and after 2 while memory is short

  Scenario: A client that takes a little is never cut, and its runner is read at least each second and a half
    Then a client that takes something every 4 seconds is not cut in 5 minutes, and its runner is never left unread longer than 1500 ms

  Scenario: A turn that is kept is read on, and what is ready is kept for its client
    Then a client whose turn is kept is not cut while the turn comes, and 20 seconds after it is ready

  Scenario: What is behind is handed over in order, whole, and ended once
    Then any bytes reach a client in order, whatever it takes when

  Scenario: A runner that takes nothing is handed no more than its bound
    Then a runner that takes nothing may be sent requests until 262144 bytes wait for it, and again once it takes

  Scenario: A runner that takes over from another is held as soon as its client is behind
    Then a client that is behind holds the first runner, and the next one after the same bytes

  Scenario: The silence of a runner is watched by one timer, whatever was paused while its address was probed
    Then a watch that is paused and resumed while a probe is out probes once in each silence

  Scenario: Bytes that wait for a connection are not the runner's
    Then 30 bodies of 90000 bytes that wait for connections leave a runner in, and count from their connections on

  Scenario: Bodies that wait are let in some at a time, the first first, and none of a request that is over
    Given a budget of 1000000 bytes
    When the bytes held rise to 700000
    And 100 bodies of 30000 bytes come, 20 of which are given up
    And the bytes held rise to 100000
    Then no more than 16 of them are read together, and the mark is not passed by more than those
    And all but those that were given up are read once there is room for each

  Scenario: A part of an error's body is of no turn
    Then a turn whose first try broke off in an error's body is kept with the second one's events only
