Feature: Spoiled answers
  A runner may send bytes that are no answer. They end the attempt that reads them, and neither another request nor the process.

  # Guards against a status or a reason that Node's writer refuses: its exception ended the gateway with all requests.
  Scenario Outline: A status line that HTTP doesn't allow fails the attempt, and a repeatable request is answered by another runner
    Given a gateway whose runners spoil the first answer to each request, framed by "<framing>"
    When the status line of the first answer reads "<status line>"
    Then a "repeatable" request gets the whole answer
    And a "single" request gets status 502
    And no exception was thrown

    Examples:
      | framing | status line        |
      | length  | HTTP/1.1 200 \x0fK |
      | length  | HTTP/1.1 200 O\x7f |
      | length  | HTTP/1.1 000 OK    |
      | length  | HTTP/1.1 099 OK    |
      | length  | HTTP/1.1 600 OK    |
      | length  | HTTP/1.1 999 OK    |
      | chunks  | HTTP/1.1 200 \x0fK |
      | chunks  | HTTP/1.1 000 OK    |
      | close   | HTTP/1.1 200 \x0fK |
      | close   | HTTP/1.1 000 OK    |
      | length  | HTTP/1.1 001 OK    |
      | length  | HTTP/1.1 042 OK    |
      | close   | HTTP/1.1 042 OK    |
      | length  | HTTP/1.1 101 OK    |
      | close   | HTTP/1.1 101 OK    |
      | length  | HTTP/1.1 199 OK    |
      | close   | HTTP/1.1 199 OK    |
      | close   | HTTP/1.1 600 OK    |
      | close   | HTTP/1.1 999 OK    |
      | length  | HTTP/1.0 000 OK    |
      | close   | HTTP/1.0 999 OK    |
      | length  | HTTP/1.1 0 OK      |
      | close   | HTTP/1.1 20 OK     |
      | close   | HTTP/1.1 2000 OK   |
      | length  | HTTP/1.1 -00 OK    |
      | length  | HTTP/1.1 2x0 OK    |
      | length  | HTTP/1.1  OK       |

  # Guards against a turn whose answer had no status, and that later turns are built on.
  Scenario Outline: A turn whose answer has a status that HTTP doesn't allow is not stored
    Given a gateway whose runners spoil the first answer to each request, framed by "<framing>"
    When the status line of the first answer reads "<status line>"
    Then a "kept" request gets status 502
    And no turn is stored

    Examples:
      | framing | status line     |
      | length  | HTTP/1.1 000 OK |
      | close   | HTTP/1.1 000 OK |
      | close   | HTTP/1.1 099 OK |
      | chunks  | HTTP/1.1 999 OK |

  # Guards against an empty answer in place of one whose status lost a bit: a 204 has no content and can't announce any.
  Scenario Outline: A 204 with content is not the runner's answer
    Given a gateway whose runners spoil the first answer to each request, framed by "<framing>"
    When the status line of the first answer reads "HTTP/1.1 204 OK"
    Then a "repeatable" request gets the whole answer
    And a "single" request gets status 502

    Examples:
      | framing |
      | length  |
      | chunks  |

  # Guards against any other byte of a head that reaches a call which throws.
  Scenario Outline: Whichever bit of a head is wrong, the request is answered and no exception is thrown
    Given a gateway whose runners spoil the first answer to each request, framed by "<framing>"
    When a "<route>" request is sent for each single wrong bit of the head
    Then each of them is answered
    And no exception was thrown

    Examples:
      | framing | route      |
      | length  | repeatable |
      | chunks  | repeatable |
      | close   | repeatable |
      | length  | stream     |

  # Guards against combinations of wrong bytes, cuts and splits that a single wrong bit doesn't show.
  Scenario Outline: Whatever bytes are wrong, cut off or split, the request is answered and no exception is thrown
    Given a gateway whose runners spoil the first answer to each request, framed by "<framing>"
    When 150 "repeatable" requests are sent for answers with random wrong bytes, cuts and splits of seed <seed>
    Then each of them is answered
    And no exception was thrown

    Examples:
      | framing | seed |
      | length  | 80   |
      | chunks  | 81   |
      | close   | 82   |

  # Guards against an idle timeout that a socket refuses: its exception ended the gateway once the answer was complete.
  Scenario: A keep-alive time of any length ends no process
    Given a gateway whose runners send a keep-alive time of 400 digits
    Then a "repeatable" request gets the whole answer
    And no exception was thrown

  # Guards against an event id that reaches the header of the next attempt, where Node's client refuses it.
  Scenario: A stream with control characters in an event id goes on at another runner after the last valid event
    Given a gateway whose runners break off the first stream after the event ids "1" and "2\x01"
    When a client sends a "stream" request
    Then the client gets events 1 to 4 and the end
    And no exception was thrown

  # Guards against a tenant's name that reaches a header as it is, where Node's client refuses all beyond Latin-1.
  Scenario: A tenant's name in any script reaches the runner in UTF-8
    Given a gateway with two runners, and a tenant named "Łódź 東京" with the key "key-1"
    When a client sends a "repeatable" request with the key "key-1"
    Then the client gets status 200 with the runner's body and signature
    And the runner was told the tenant "Łódź 東京"
    And no exception was thrown

  # Guards against exceptions that nobody foresaw: they ended the process, and later they would leak what the request holds.
  Scenario Outline: An exception under one request ends that request only, and what it holds is given back
    Given a gateway with two runners, at which an exception is thrown at "<point>" of requests to "/repeatable/faulty"
    When 5 "repeatable" requests to "/repeatable/faulty" and 5 to "/repeatable/work" are sent at the same time
    Then those to "/repeatable/faulty" get status <status>, and the others 200
    And nothing is held for any of them
    And 5 exceptions are counted, and one log line has the stack

    Examples:
      | point        | status |
      | placement    | 503    |
      | sending      | 503    |
      | answer       | 502    |

  # Guards against bytes from peers and operators that reach a call which throws.
  Scenario: Requests to the exchange of gateways and members with an impossible address end no process
    Given a gateway's exchange with peers
    When it is asked at "//", and told the peers "127.0.0.1:99999", "127.0.0.1:x" and "a b:80"
    Then it answers the next request, and asks none of these
    And a member record with port 70000 is ignored
