Feature: Routed requests
  Requests of three kinds go to the runners of their route's service and come back whole, at most
  once where they may not repeat, whatever the runners do.

  Background:
    Given a gateway with two runners

  Scenario: A plain answer is passed on unchanged
    When a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature
    And one runner ran it once with method, path and body unchanged

  Scenario Outline: A request that may repeat is sent to another runner
    Given the first try of a request ends as "<behaviour>"
    When a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature

    Examples:
      | behaviour    |
      | refuse       |
      | loseAnswer   |
      | wrongId      |
      | unsigned     |
      | cutOff       |
      | falsePromise |
      | fail         |

  Scenario Outline: A request that may not repeat is never run twice and promises nothing false
    Given the first try of a request ends as "<behaviour>"
    When a client sends a "single" request
    Then the client gets status <status>
    And the runners ran it <runs> times
    And the answer says when to come back: <retry>

    Examples:
      | behaviour    | status | runs | retry |
      | refuse       | 200    | 1    | no    |
      | loseAnswer   | 502    | 1    | no    |
      | wrongId      | 502    | 1    | no    |
      | unsigned     | 502    | 1    | no    |
      | cutOff       | 502    | 1    | no    |
      | falsePromise | 502    | 1    | no    |
      | fail         | 500    | 1    | no    |
      | unframed     | 200    | 1    | no    |

  Scenario: A full runner is not asked again by a request that may go to one runner only
    Given the first try of a request ends as "refuse"
    When a client sends a "once" request
    Then the client gets status 503
    And the runners ran it 0 times
    And the answer says when to come back: yes

  Scenario: An answer that comes after its own belongs to nobody
    Given the first try of a request ends as "extraAnswer"
    When a client sends a "single" request
    And a client sends a "single" request
    Then each client got the answer of its own request

  Scenario: A stream is passed on event by event
    When a client sends a "stream" request
    Then the client gets events 1 to 4 and the end

  Scenario: A broken stream is taken up after its last whole event
    Given the first try of a request ends as "cutOff"
    When a client sends a "stream" request
    Then the client gets events 1 to 4 and the end
    And the second try asked for events after 2

  Scenario: A runner that lost power takes none of the runners that a route allows
    Given the first try of a request ends as "dark"
    When a client sends a "lone" request
    Then the client gets events 1 to 4 and the end
    And the second try asked for events after 2

  Scenario: A broken stream that may not be taken up never looks complete
    Given the first try of a request ends as "cutOff"
    When a client sends a "kept" request
    Then the client's connection breaks after event 2

  Scenario: A caller that leaves ends the work
    Given the first try of a request ends as "silent"
    When a client sends a "stream" request and leaves
    Then the runner sees its client leave

  Scenario: A silent runner costs no more than the route's time
    Given the first try of a request ends as "silent"
    When a client sends a "single" request that waits 400 milliseconds
    Then the client gets status 504
    And the runners ran it 1 times

  Scenario: A runner that crashed is passed by
    Given one runner has crashed without a word
    When 6 clients send a "single" request
    Then all clients get status 200

  Scenario: A leaving runner gets no new requests
    Given one runner is leaving
    When 6 clients send a "single" request
    Then all clients get status 200
    And the leaving runner ran nothing

  Scenario Outline: Bad input is refused at once and nothing is sent on
    When a client sends <what>
    Then the client gets status <status>
    And the runners ran it 0 times

    Examples:
      | what                          | status |
      | a request to an unknown host  | 404    |
      | a request to an unknown route | 404    |
      | a request without an id       | 400    |
      | a body that is too large      | 413    |
      | headers that are too large    | 431    |
      | a body that stops in between  | 408    |

  Scenario: Before any configuration is known
    Given a gateway without a configuration
    When its readiness is asked
    Then it is not ready

  Scenario: An unknown route is not called unknown while the configuration may be old
    Given the configuration is not proved to be the newest
    When a client sends a request to an unknown route
    Then the client gets status 503
    And the answer says when to come back: yes
    When a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature

  Scenario: An older configuration never replaces a newer one
    When the configuration of version 3 without routes is offered
    And a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature

  Scenario: A kept turn is the beginning of the next one
    When a client sends a "kept" request with body "first;"
    And a client goes on from it with body "second;"
    Then the runner got "first;event 1\nevent 2\nevent 3\nevent 4\nsecond;"

  Scenario: A turn that never was is not found
    When a client goes on from turn "nowhere" with body "x"
    Then the client gets status 404
    And the runners ran it 0 times

  Scenario: A spent budget is refused before anything runs
    Given a program with a budget of 100 tokens
    When it sends turns of at most 60 tokens that hand out 40
    Then turns are served until 80 tokens are handed out and then get status 402

  Scenario: Turns need the replicas, plain calls and streams without a budget do not
    Given all replicas are out of reach
    When a client sends a "single" request
    Then the client gets status 200 with the runner's body and signature
    When a client goes on from turn "earlier" with body "x"
    Then the client gets status 503
    And the answer says when to come back: yes

  Scenario: A planned stop cuts no request
    Given the first try of a request ends as "answer"
    When a client sends a slow "single" request and the gateway is told to stop
    Then the client gets status 200 with the runner's body and signature
    And the gateway is not ready and its answer closed the connection
