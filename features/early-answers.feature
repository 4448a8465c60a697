Feature: Early answers
  A runner may answer before it has read a long request. An answer that ends with its connection is whole only if the connection is
  not reset while the request may still be unread.

  Background:
    Given a gateway with two runners that takes requests of 16 MB

  # Guards against a part of an answer that is taken for a whole one, since its connection ended before it was reset.
  Scenario Outline: An answer whose connection is reset while the request is unread is lost
    Given a runner that answers a part of its body early, and then does "<then>" after <delay> ms
    When a client sends it a "<route>" request of <KB> KB
    Then the client gets no complete answer

    Examples:
      | then          | delay | route  | KB   |
      | reset         | 0     | single | 300  |
      | reset         | 0     | single | 3800 |
      | close         | 0     | single | 3800 |
      | close         | 0     | kept   | 3800 |
      | end and reset | 1     | single | 300  |
      | end and reset | 1     | single | 3800 |
      | end and reset | 30    | single | 1000 |
      | end and reset | 100   | single | 300  |
      | end and reset | 100   | kept   | 300  |
      | end and reset | 300   | single | 300  |
      | end and reset | 300   | kept   | 3800 |
      | end and reset | 800   | single | 15000 |

  # Guards against a second run of a request that isn't idempotent, and against a first answer that is believed.
  Scenario: A request whose early answer is lost is tried elsewhere only if it may run twice
    Given a runner that answers a part of its body early, and then does "end and reset" after 100 ms, beside a sound one
    When 6 clients send a "repeatable" request of 300 KB
    Then each gets the whole answer of the sound runner
    When 6 clients send a "single" request of 300 KB
    Then those whose answer was lost get status 502, and the sound runner ran the others only

  # Guards against whole answers that are taken for broken ones, and against a request of which the runner doesn't get the rest.
  Scenario Outline: An early answer of a runner that reads the rest of the request is whole
    Given a runner that answers its whole body early, and then does "end and read on" after 0 ms
    When a client sends it a "<route>" request of <KB> KB
    Then the client gets the whole answer within 2000 ms
    And the runner has read the whole request

    Examples:
      | route      | KB   |
      | single     | 300  |
      | single     | 3800 |
      | repeatable | 1000 |
      | kept       | 1000 |
      | kept       | 3800 |

  # Guards against a connection whose end is read over and over while it is held back.
  Scenario: To wait for a reset takes little processor time
    Given a runner that answers its whole body early, and then does "end and read on" after 0 ms
    When a client sends it a "single" request of 300 KB
    Then the client gets the whole answer within 2000 ms
    And less than half of the time was processor time

  # Guards against a wait that delays the answers to ordinary requests.
  Scenario: An answer to a short request is not delayed
    Given a runner that answers its whole body early, and then does "end and read on" after 0 ms
    When a client sends it a "single" request of 4 KB
    Then the client gets the whole answer within 200 ms

  # Guards against a short request that is taken for a long one, since its connection has carried one before.
  Scenario: An answer to a short request on a connection that has carried a long one is not delayed
    Given a server that answers the first request on a connection with a length, and the second one until its end
    When a request of 300 KB and a request of 1 KB are sent to it on one connection
    Then the second answer is whole within 200 ms
