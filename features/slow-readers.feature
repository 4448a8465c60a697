Feature: Clients and runners that read slowly or not at all
  The memory for slow clients and runners is bounded, and they do not affect the answers of others. The scenarios use
  real sockets on loopback.

  Scenario: A stream is read from its runner no faster than its client reads it
    Given a gateway with two runners whose streams are long
    When a client of a "stream" route reads nothing
    Then the gateway buffers at most 131072 bytes for it, and its runner waits

  Scenario: A client that resumes reading gets its whole stream, and the pause does not count against its runner
    Given a gateway with two runners whose streams are long
    When a client of a "stream" route reads nothing
    And it resumes reading after 1200 milliseconds
    Then it gets the whole stream in order
    And no attempt failed, and no latency sample of its runner was taken

  Scenario: An answer is complete although its runner closes the connection while reading is paused
    Given a gateway with two runners whose streams are long
    Then an answer of 8000 bytes that is read 200 milliseconds after its runner closed the connection is complete

  Scenario: A client that disconnects ends all of its pipelined requests, and nothing is buffered for them
    Given a gateway with two runners whose streams are long
    When a client sends 3 pipelined requests with bodies and disconnects after 300 milliseconds
    Then all requests and all runs have ended within 500 milliseconds, and nothing is buffered
    And the requests behind the first have not run

  Scenario: A client that reads nothing is disconnected, and its run ends
    Given a gateway with two runners whose streams are long
    When a client of a "stream" route reads nothing
    Then it is disconnected within 7000 milliseconds without its answer looking complete
    And its run has ended, and nothing is buffered any more

  Scenario: A client that disconnects while its runner waits for it ends the run
    Given a gateway with two runners whose streams are long
    When a client of a "stream" route reads nothing
    And it disconnects
    Then its run ends within 500 milliseconds

  Scenario: An interrupted stream of a slow client is resumed after its last complete event
    Given a gateway with two runners whose streams are long
    And the first stream is interrupted in the middle
    When a client of a "stream" route reads nothing
    And it resumes reading after 800 milliseconds
    Then it gets the whole stream in order

  Scenario: A turn is stored completely although its client reads nothing, and its answer is delivered late
    Given a gateway with two runners whose streams are long
    When a client of a "kept" route reads nothing
    Then the turn is stored completely within 3000 milliseconds, and the gateway buffers the rest of the answer
    When it resumes reading after 500 milliseconds
    Then it gets the whole stream in order

  Scenario: A complete plain answer is delivered late
    Given a gateway with two runners whose plain answers are large
    When a client of a "single" route reads nothing
    Then the gateway buffers the rest of the answer, and the run is over
    When it resumes reading after 1500 milliseconds
    Then it gets the whole plain answer

  Scenario: 300 clients that read nothing and 300 that read a few bytes a second do not slow down 300 normal ones
    Given a gateway with a budget of 16 MB and two runners whose streams are long
    When 300 normal clients send requests, ten at a time
    And 300 clients read nothing, and 300 read a few bytes a second
    And 300 normal clients send requests, ten at a time
    Then all normal clients got complete answers, the later ones as fast as the earlier ones
    And the gateway buffered at most 8 MB for the others, and the process used at most 120 MB more
    And those that read nothing are disconnected within 6000 milliseconds, and nothing is buffered for them any more

  Scenario: While memory is low, bodies wait; then new requests are refused as not run, with a retry delay
    Given a gateway with a budget of 1 MB and two runners whose streams are long
    When the gateway buffers 700000 bytes for others
    Then a new request without a body is answered, and one with a body waits
    And one with a body whose deadline passes before it is read is refused with 503 and a retry delay, and is not run
    When the gateway buffers 800000 bytes for others
    Then a new request is refused with 503 and a retry delay, and is not run
    When the gateway buffers 1000 bytes for others
    Then the request that waited is answered, and so is a new one

  Scenario: A runner that reads nothing is sent no more than its limit, and the other one serves
    Given a gateway with two runners, the first of which reads nothing
    When 120 clients send bodies of 90000 bytes to a "repeatable" route
    Then at most 400000 bytes are unsent to the first runner, and the second one answered the other requests
    And no request that reached the first runner, even in part, is reported as not run

  Scenario: Long bodies that arrive at once do not exclude runners that read them
    Given a gateway with two runners whose streams are long
    When 120 clients send bodies of 90000 bytes to a "repeatable" route
    Then all of them are answered
