Feature: Broken answers
  An answer of a runner may have neither a length nor chunks and end with its connection. One whose connection was reset,
  or that ends within an event, was broken off and never looks complete.

  Background:
    Given a gateway with two runners

  # Guards against a reset that arrives together with the last bytes and is taken for the end of the answer.
  Scenario Outline: A plain answer that was reset is requested from another runner
    Given the first attempt of a request ends as "<behaviour>"
    When a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature
    And the runners ran it 2 times

    Examples:
      | behaviour          |
      | resetAfterHead     |
      | resetBetweenEvents |
      | resetWithinEvent   |

  # Guards against a part of an answer that is framed as the whole one, and against a second run.
  Scenario Outline: A plain answer that was reset and must not be requested again is lost
    Given the first attempt of a request ends as "<behaviour>"
    When a client sends a "single" request
    Then the client gets status 502
    And the runners ran it 1 times

    Examples:
      | behaviour          |
      | resetAfterHead     |
      | resetBetweenEvents |
      | resetWithinEvent   |

  # Guards against a stream that is ended as complete after the event that arrived together with a reset.
  Scenario Outline: A stream that was reset goes on after its last complete event
    Given the first attempt of a request ends as "<behaviour>"
    When a client sends a "stream" request
    Then the client gets events 1 to 4 and the end
    And the runners ran it 2 times

    Examples:
      | behaviour          |
      | resetAfterHead     |
      | resetBetweenEvents |

  # Guards against a truncated turn that is stored, so that all later turns are built on it.
  Scenario Outline: A stream that was reset and may not be resumed breaks, and its turn is not stored
    Given the first attempt of a request ends as "<behaviour>"
    When a client sends a "kept" request
    Then the client's answer is not complete
    And no turn is stored

    Examples:
      | behaviour          |
      | resetAfterHead     |
      | resetBetweenEvents |

  # Guards against the same while a client that reads slowly pauses the runner.
  Scenario: A long stream that was reset reaches a slow client whole
    Given the first attempt of a request ends as "resetBetweenEvents"
    When a client requests a stream of 100 events of 100000 bytes and reads it after 500 milliseconds
    Then the client gets 100 events in order and the end

  Scenario Outline: A stream that ends within an event was broken off
    Given the first attempt of a request ends as "<behaviour>"
    When a client sends a "<route>" request
    Then <result>

    Examples:
      | behaviour        | route  | result                                    |
      | endWithinEvent   | stream | the client gets events 1 to 4 and the end |
      | endWithinEvent   | kept   | the client's answer is not complete       |
      | resetWithinEvent | stream | the client gets events 1 to 4 and the end |
      | resetWithinEvent | kept   | the client's answer is not complete       |

  Scenario Outline: An answer whose connection ended in order is complete
    Given the first attempt of a request ends as "unframed"
    When a client sends a "<route>" request
    Then <result>
    And the runners ran it 1 times

    Examples:
      | route      | result                                                       |
      | repeatable | the client gets status 200 with the runner's body and signature |
      | single     | the client gets status 200 with the runner's body and signature |
      | stream     | the client gets events 1 to 4 and the end                    |
      | kept       | the client gets events 1 to 4 and the end                    |

  # Guards against whole streams that are taken for broken ones.
  Scenario: Line ends after the last event belong to a whole stream
    Given a runner that answers "data: whole\n\n\r\n" without reading the request and closes its connection
    When a client sends it a "stream" request
    Then the client gets status 200 and the body "data: whole\n\n\r\n"

  # Guards against whole answers that are taken for broken ones, since a reset follows their end.
  Scenario: An answer that ends in order is whole although its connection is reset afterwards
    Given a runner that answers "whole" without reading the request and closes its connection
    When a client sends it a "single" request
    Then the client gets status 200 and the body "whole"

  # Guards against an answer without chunks that ends like a whole one when the gateway breaks it off.
  Scenario: A broken stream to a client of HTTP/1.0 ends with a reset
    Given the first attempt of a request ends as "cutOff"
    When a client of HTTP/1.0 sends a "kept" request
    Then its connection is reset after event 2
