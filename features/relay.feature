Feature: Relayed requests
  Requests of three kinds are sent to the runners of their route's service. Whatever the runners do, answers are
  complete, and requests that must not repeat run at most once.

  Background:
    Given a gateway with two runners

  Scenario: A plain answer is forwarded unchanged
    When a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature
    And one runner ran it once with method, path and body unchanged

  Scenario Outline: A request that may repeat is retried at another runner
    Given the first attempt of a request ends as "<behaviour>"
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

  Scenario Outline: A request that must not repeat never runs twice and never invites a wrong retry
    Given the first attempt of a request ends as "<behaviour>"
    When a client sends a "single" request
    Then the client gets status <status>
    And the runners ran it <runs> times
    And the answer says when to retry: <retry>

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

  Scenario: A request limited to one runner is not sent again to a runner that refused it
    Given the first attempt of a request ends as "refuse"
    When a client sends a "once" request
    Then the client gets status 503
    And the runners ran it 0 times
    And the answer says when to retry: yes

  Scenario: A surplus answer on a connection is not taken for that of the next request
    Given the first attempt of a request ends as "extraAnswer"
    When a client sends a "single" request
    And a client sends a "single" request
    Then each client got the answer of its own request

  Scenario: A stream is forwarded event by event
    When a client sends a "stream" request
    Then the client gets events 1 to 4 and the end

  Scenario: A broken stream is resumed after its last complete event
    Given the first attempt of a request ends as "cutOff"
    When a client sends a "stream" request
    Then the client gets events 1 to 4 and the end
    And the second attempt asked for events after 2

  Scenario: A runner that lost power does not count towards a route's maximum number of runners
    Given the first attempt of a request ends as "dark"
    When a client sends a "lone" request
    Then the client gets events 1 to 4 and the end
    And the second attempt asked for events after 2

  Scenario: A broken stream that may not be resumed never looks complete
    Given the first attempt of a request ends as "cutOff"
    When a client sends a "kept" request
    Then the client's connection breaks after event 2

  Scenario: The work ends when the client disconnects
    Given the first attempt of a request ends as "silent"
    When a client sends a "stream" request and disconnects
    Then the runner sees its client disconnect

  Scenario: A request to a silent runner ends at its timeout
    Given the first attempt of a request ends as "silent"
    When a client sends a "single" request that waits 400 milliseconds
    Then the client gets status 504
    And the runners ran it 1 times

  Scenario: A crashed runner is skipped
    Given one runner has crashed without notice
    When 6 clients send a "single" request
    Then all clients get status 200

  Scenario: A leaving runner gets no new requests
    Given one runner is leaving
    When 6 clients send a "single" request
    Then all clients get status 200
    And the leaving runner ran nothing

  Scenario Outline: Invalid requests are refused at once and not forwarded
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

  Scenario: A gateway without a configuration is not ready
    Given a gateway without a configuration
    When its readiness is probed
    Then it is not ready

  Scenario: An unknown route is not answered with 404 while the configuration may be outdated
    Given the configuration is not proved to be the newest
    When a client sends a request to an unknown route
    Then the client gets status 503
    And the answer says when to retry: yes
    When a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature

  Scenario: An older configuration never replaces a newer one
    When the configuration of version 3 without routes is offered
    And a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature

  Scenario: A stored turn is prepended to the turn that continues it
    When a client sends a "kept" request with body "first;"
    And a client continues it with body "second;"
    Then the runner got "first;event 1\nevent 2\nevent 3\nevent 4\nsecond;"

  Scenario: A turn that was never stored is not found
    When a client continues turn "nowhere" with body "x"
    Then the client gets status 404
    And the runners ran it 0 times

  Scenario: A turn beyond the token budget is refused before it runs
    Given a program with a budget of 100 tokens
    When it sends turns of at most 60 tokens that deliver 40
    Then turns are served until 80 tokens are delivered and then get status 402

  # Guards against tokens that are settled by a configuration without the turn's service, and are handed out a second time.
  Scenario: Tokens of a turn count in full although its service is no longer listed when it ends
    Given a program with a budget of 90 tokens
    When it sends a turn of at most 60 tokens that delivers 40, and its service is no longer listed before it ends
    Then its next turn of at most 60 tokens gets status 402

  Scenario: Stored turns need the replicas; plain requests do not
    Given all replicas are out of reach
    When a client sends a "single" request
    Then the client gets status 200 with the runner's body and signature
    When a client continues turn "earlier" with body "x"
    Then the client gets status 503
    And the answer says when to retry: yes

  Scenario: A graceful shutdown interrupts no request
    Given the first attempt of a request ends as "answer"
    When a client sends a slow "single" request and the gateway is told to stop
    Then the client gets status 200 with the runner's body and signature
    And the gateway is not ready and its answer closed the connection

  # Guards against waits at runners that admission doesn't learn of: load that no gateway reports.
  Scenario: Long waits of a program's turns raise the reported load of their service
    Given runners that begin to answer after 300 ms
    When a program sends 40 turns
    Then the load of their service is raised
    And the waits of 40 turns are counted

  # Guards against requests that wait in the gateway for a connection and reach a runner long after it began to leave.
  Scenario Outline: Requests that wait for a connection to a runner go elsewhere at once when it <leaves>
    Given a gateway that may open 1 connection to each of two runners
    When 6 "single" requests that take 300 ms are sent, and the first runner <leaves> after 100 ms
    Then all clients get status 200
    And the first runner ran 1 request, and none waited for its connection

    Examples:
      | leaves                |
      | drains                |
      | disappears            |

  # Guards against a request that is sent to a runner as a last resort for longer than that runner may be used.
  Scenario: A request that waits for the last runner of its service is refused once that runner is forgotten
    Given a gateway that may open 1 connection to each of two runners, the second of which has left
    When 3 "single" requests that take 1500 ms are sent, and the first runner disappears after 100 ms
    Then 1 client gets status 200, and the others get status 503 within 1450 ms
