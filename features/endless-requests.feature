Feature: Clients that send without end
  A client may send bytes that belong to no request, or that surround its content. Each is bounded in bytes, and no other client is
  held up.

  Background:
    Given a gateway that clients send to without end

  # Guards against bytes of clients that a parser reads and hands on to nobody: no limit on heads or bodies bounded them.
  Scenario Outline: A client that sends <part> without end is refused
    When a client sends "<part>" without end to "the front"
    Then its connection is closed within 2000 ms and after at most <mebibytes> MiB
    And one request was refused with status <status>
    And another client is answered

    Examples:
      | part                         | status | mebibytes |
      | line breaks first            | 400    | 16        |
      | line breaks behind a request | 400    | 16        |
      | chunk size                   | 400    | 16        |
      | later chunk size             | 400    | 16        |
      | padded chunks                | 400    | 16        |
      | extended chunks              | 400    | 16        |

  # Guards against bytes behind a request in progress that are read for as long as their client sends, or that take its answer.
  Scenario Outline: <part> without end are held back, and refused once the stream is over
    When a client sends "<part>" without end to "the front"
    Then its connection is closed within 15000 ms and after at most 16 MiB
    And it got its whole stream before
    And one request was refused with status 400
    And another client is answered

    Examples:
      | part                        |
      | line breaks behind a stream |
      | chunk size behind a stream  |

  # Guards against the rest of a refused request that is read for as long as its client sends.
  Scenario Outline: The <part> does not go on without end
    When a client sends "<part>" without end to "the front"
    Then its connection is closed within 3000 ms and after at most 32 MiB
    And one request was refused with status <status>
    And another client is answered

    Examples:
      | part                               | status |
      | body of a refused request          | 404    |
      | declared body of a refused request | 404    |
      | body above the limit               | 413    |

  # Guards against the same bytes at the servers that are not for clients.
  Scenario Outline: A client that sends <part> without end to <server> is disconnected
    When a client sends "<part>" without end to "<server>"
    Then its connection is closed within 2000 ms and after at most 16 MiB

    Examples:
      | server               | part                         |
      | the readiness server | chunk size                   |
      | the readiness server | line breaks first            |
      | the readiness server | line breaks behind a request |
      | the metrics server   | chunk size                   |
      | the metrics server   | padded chunks                |
      | the metrics server   | line breaks behind a request |
      | the server for peers | chunk size                   |
      | the server for peers | extended chunks              |
      | the server for peers | line breaks behind a request |
      | the interface        | chunk size of a call         |
      | the interface        | padded chunks of a call      |
      | the interface        | line breaks first            |
      | the interface        | line breaks behind a request |

  # Guards against the rest of a request refused by the interface that is read for as long as its client sends.
  Scenario Outline: The <part> does not go on without end at the interface
    When a client sends "<part>" without end to "the interface"
    Then its connection is closed within 3000 ms and after at most 32 MiB

    Examples:
      | part                               |
      | body of a refused request          |
      | declared body of a refused request |

  # Guards against limits whose listeners keep Node from telling such clients to go on.
  Scenario Outline: A client that asks <server> before it sends its content is told to go on
    When a client asks "<server>" before it sends "no JSON"
    Then it is told to go on, and answered with status <status>

    Examples:
      | server               | status |
      | the interface        | 422    |
      | the readiness server | 200    |
      | the metrics server   | 200    |
      | the server for peers | 404    |

  # Guards against limits that end sound requests: clients send chunks of a byte, padded sizes, and requests ahead of answers.
  Scenario Outline: <count> sound requests of <bytes> bytes in chunks of <size> with "<padding>" ahead of their sizes are answered
    When a client sends <count> pipelined requests of <bytes> bytes in chunks of <size> with "<padding>" ahead of their sizes
    Then <count> requests are answered with status 200

    Examples:
      | count | bytes | size | padding |
      | 1     | 90000 | 1    |         |
      | 1     | 90000 | 1    | 0000000 |
      | 40    | 1000  | 1    |         |
      | 20    | 96000 | 6    |         |
      | 30    | 98304 | 4096 | 0000    |

  Scenario: Requests with large bodies over a connection that is kept are all answered
    When a client sends 60 requests of 100000 bytes over one connection
    Then 60 requests are answered with status 200
