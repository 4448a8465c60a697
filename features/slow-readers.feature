Feature: Clients and runners that read slowly or not at all
  What waits for somebody slow is bounded, whoever it is, and costs nobody else his answer. Real sockets on loopback.

  Scenario: A stream is read from its runner no faster than its client takes it
    Given a gateway with two runners whose streams are long
    When a client of a "stream" route reads nothing
    Then the gateway holds at most 131072 bytes for it, and its runner waits

  Scenario: A client that reads again gets its stream whole, and its runner is not blamed for the pause
    Given a gateway with two runners whose streams are long
    When a client of a "stream" route reads nothing
    And it reads on after 1200 milliseconds
    Then it gets the whole stream in order
    And no try failed, and nothing was learned of its runner's pace

  Scenario: An answer whose runner closes the connection while it is not read is whole
    Given a gateway with two runners whose streams are long
    Then an answer of 8000 bytes that is read 200 milliseconds after its runner closed the connection is whole

  Scenario: A client that leaves ends all requests that it sent one behind the other, and nothing is held for them
    Given a gateway with two runners whose streams are long
    When a client sends 3 requests with bodies one behind the other, and leaves after 300 milliseconds
    Then no request is under way within 500 milliseconds, all runs have ended, and nothing is held

  Scenario: A client that reads nothing is cut, its run ends, and the log says so
    Given a gateway with two runners whose streams are long
    When a client of a "stream" route reads nothing
    Then its answer is cut within 7000 milliseconds without looking complete
    And its run has ended, and nothing is held any more

  Scenario: A client that leaves while its runner waits for it ends the run
    Given a gateway with two runners whose streams are long
    When a client of a "stream" route reads nothing
    And it leaves
    Then its run ends within 500 milliseconds

  Scenario: A broken stream whose client was behind is taken up after its last whole event
    Given a gateway with two runners whose streams are long
    And the first stream breaks off in the middle
    When a client of a "stream" route reads nothing
    And it reads on after 800 milliseconds
    Then it gets the whole stream in order

  Scenario: A turn is kept whole although its client reads nothing, and delivered late
    Given a gateway with two runners whose streams are long
    When a client of a "kept" route reads nothing
    Then the turn is kept whole within 3000 milliseconds, and the gateway holds the rest of the answer
    When it reads on after 500 milliseconds
    Then it gets the whole stream in order

  Scenario: A plain answer that is ready is delivered late
    Given a gateway with two runners whose plain answers are large
    When a client of a "single" route reads nothing
    Then the gateway holds the rest of the answer, and the run is over
    When it reads on after 1500 milliseconds
    Then it gets the whole plain answer

  Scenario: 300 clients that read nothing and 300 that read a few bytes a second leave 300 usual ones their times
    Given a gateway with a budget of 16 MB and two runners whose streams are long
    When 300 usual clients ask, one after another of each ten
    And 300 clients read nothing, and 300 read a few bytes a second
    And 300 usual clients ask, one after another of each ten
    Then all usual clients were answered whole, the later ones as soon as the earlier ones
    And the gateway held at most 8 MB for the others, and the process took at most 120 MB more
    And those that read nothing are cut within 6000 milliseconds, and nothing is held for them any more

  Scenario: While memory is short bodies wait, then new requests are refused as not run, with a time to come back
    Given a gateway with a budget of 1 MB and two runners whose streams are long
    When it holds 700000 bytes for others
    Then a new request without a body is answered, and one with a body waits
    And one with a body whose time is over before it is read is refused with 503 and a time to come back, and no run
    When it holds 800000 bytes for others
    Then a new request is refused with 503, a time to come back, and no run
    When it holds 1000 bytes for others
    Then the request that waited is answered, and so is a new one

  Scenario: A runner that takes nothing is handed no more than its bound, and the others serve
    Given a gateway with two runners, the first of which takes nothing
    When 120 clients send bodies of 90000 bytes to a "repeatable" route
    Then at most 400000 bytes wait for the first runner, and the others were answered by the second
    And none that reached the first runner in part or whole is said not to have run

  Scenario: Long bodies that come at once leave no runner out that takes them
    Given a gateway with two runners whose streams are long
    When 120 clients send bodies of 90000 bytes to a "repeatable" route
    Then all of them are answered
