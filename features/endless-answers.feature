Feature: Answers without end
  A runner may send bytes that are no answer until the gateway closes the connection. Each is bounded in bytes and in time, and no
  other request is held up or refused.

  Background:
    Given a gateway with two runners

  # Guards against connections that stay open, and bytes that are read or kept, for as long as a spoiled answer lasts.
  Scenario Outline: A repeatable request whose first answer has an endless <part> is answered by another runner
    Given the first answer is endless in its "<part>", framed by "<framing>", with status <status>
    When a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature
    And the endless answer was closed within 1000 ms and after at most 32 MiB
    And nothing is held for it

    Examples:
      | part           | framing | status |
      | blankLines     | length  | 200    |
      | informational  | length  | 200    |
      | reason         | length  | 200    |
      | headerLines    | length  | 200    |
      | headerValue    | length  | 200    |
      | body           | length  | 200    |
      | body           | chunks  | 200    |
      | body           | close   | 200    |
      | body           | length  | 500    |
      | body           | chunks  | 500    |
      | body           | close   | 500    |
      | body           | length  | 421    |
      | body           | chunks  | 421    |
      | body           | close   | 421    |
      | body           | length  | 503    |
      | body           | chunks  | 503    |
      | body           | close   | 503    |
      | chunkExtension | chunks  | 200    |
      | trailers       | chunks  | 200    |
      | trailers       | chunks  | 503    |

  # Guards against bytes around the content of chunks that a parser reads and hands on to nobody: only the deadline ended them.
  Scenario Outline: A repeatable request whose first answer has an endless <part> in a chunk is answered by another runner
    Given the first answer is endless in its "<part>", framed by "chunks", with status <status>
    When a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature
    And the endless answer was closed within 1000 ms and after at most 8 MiB
    And nothing is held for it

    Examples:
      | part            | status |
      | foldedHeader    | 200    |
      | chunkSize       | 200    |
      | chunkSize       | 404    |
      | chunkSize       | 503    |
      | laterChunkSize  | 200    |
      | laterChunkSize  | 500    |
      | laterChunkSize  | 421    |
      | chunkSizeBlanks | 200    |
      | carriageReturns | 200    |
      | quotedExtension | 200    |
      | paddedChunks    | 200    |
      | paddedChunks    | 500    |
      | paddedChunks    | 503    |
      | extendedChunks  | 200    |
      | extendedChunks  | 404    |

  # Guards against the same in streams, and in answers that no other runner may replace.
  Scenario Outline: An endless <part> in a chunk of a "<route>" request's answer is given up
    Given the first answer is endless in its "<part>", framed by "chunks", with status <status>
    When a client sends a "<route>" request
    Then <result>
    And the endless answer was closed within 1000 ms and after at most 8 MiB
    And nothing is held for it

    Examples:
      | part           | route  | status | result                                    |
      | chunkSize      | single | 200    | the client gets status 502                |
      | paddedChunks   | single | 404    | the client gets status 502                |
      | chunkSize      | stream | 200    | the client gets events 1 to 4 and the end |
      | paddedChunks   | stream | 200    | the client gets events 1 to 4 and the end |
      | extendedChunks | stream | 200    | the client gets events 1 to 4 and the end |
      | chunkSize      | kept   | 200    | the client's answer is not complete       |

  # Guards against a buffer for each byte of an answer, and against a copy of what was read for each byte more.
  Scenario Outline: Endless chunks of one byte in the answer to a "<route>" request take neither memory nor time from others
    Given the first answer is endless in its "tinyChunks", framed by "chunks", with status <status>
    When a client sends a "<route>" request
    Then <result>
    And the endless answer was closed within 2500 ms and after at most 8 MiB
    And nothing is held for it

    Examples:
      | route      | status | result                                                     |
      | repeatable | 200    | the client gets status 200 with the runner's body and signature |
      | single     | 404    | the client gets status 502                                 |

  Scenario Outline: An endless answer that can't be replaced by another one is given up
    Given the first answer is endless in its "<part>", framed by "<framing>", with status <status>
    When a client sends a "<route>" request
    Then the client gets status <result>
    And the endless answer was closed within 1000 ms and after at most 32 MiB
    And nothing is held for it

    Examples:
      | route  | part       | framing | status | result |
      | single | blankLines | length  | 200    | 502    |
      | single | body       | length  | 200    | 502    |
      | single | body       | chunks  | 404    | 502    |
      | single | body       | close   | 500    | 502    |
      | kept   | body       | length  | 500    | 502    |
      | kept   | body       | chunks  | 404    | 502    |
      | kept   | body       | close   | 500    | 502    |
      | single | body       | close   | 421    | 200    |
      | kept   | body       | length  | 503    | 200    |

  # Guards against an answer that ends, but whose connection has bytes behind it without end.
  Scenario: Bytes without end behind a whole answer close its connection
    Given the first answer is endless in its "extraBytes", framed by "length", with status 200
    When a client sends a "single" request
    Then the endless answer was closed within 1000 ms and after at most 32 MiB
    And nothing is held for it

  Scenario Outline: A stream with an endless body of <filler> goes on at another runner, or breaks off if it may not
    Given the first answer is endless in its "body" of "<filler>", framed by "<framing>", with status 200
    When a client sends a "<route>" request
    Then <result>
    And the endless answer was closed within 1000 ms and after at most 32 MiB
    And nothing is held for it

    Examples:
      | filler    | framing | route  | result                                    |
      | letters   | length  | stream | the client gets events 1 to 4 and the end |
      | letters   | chunks  | stream | the client gets events 1 to 4 and the end |
      | letters   | close   | stream | the client gets events 1 to 4 and the end |
      | lineFeeds | chunks  | stream | the client gets events 1 to 4 and the end |
      | letters   | close   | kept   | the client's answer is not complete       |
      | lineFeeds | length  | kept   | the client's answer is not complete       |
      | events    | chunks  | kept   | the client's answer is not complete       |

  # Guards against a connection that is kept open by a byte now and then.
  Scenario Outline: The rest of a refusal that comes byte by byte is not waited for
    Given the first answer is endless in its "body", framed by "<framing>", with status <status>, and slow
    When a client sends a "repeatable" request
    Then the client gets status 200 with the runner's body and signature
    And the endless answer was closed within 1000 ms and after at most 32 MiB
    And nothing is held for it

    Examples:
      | framing | status |
      | length  | 421    |
      | chunks  | 503    |
      | close   | 503    |

  # Guards against memory that endless answers take from others: these were refused, or the process was killed.
  Scenario Outline: Many endless answers at the same time leave memory for other requests
    Given a gateway with two runners and a memory budget of 64 MiB
    And 1 of 2 answers to "<route>" requests is endless in its "body", framed by "<framing>", with status <status>
    When 40 "<route>" requests and 200 others are sent over 1 second
    Then the others all get status 200
    And at most 38 MiB were held at any time
    And each endless answer was closed within 2000 ms and after at most 32 MiB

    Examples:
      | route  | framing | status |
      | kept   | length  | 500    |
      | kept   | chunks  | 500    |
      | single | close   | 200    |
      | single | length  | 404    |

  # Guards against the same in answers that are no answers to requests of clients.
  Scenario Outline: <reader> gives up an answer without end
    Given a server whose answers are endless in their "<part>"
    When <reader> reads an endless answer
    Then it reports that there is none within 2000 ms
    And the server's connection was closed within 2000 ms and after at most 32 MiB

    Examples:
      | reader                              | part        |
      | the client of the store's lists     | blankLines  |
      | the client of the store's lists     | body        |
      | the client of the store's writes    | blankLines  |
      | the reader of cached parts          | blankLines  |
      | the reader of cached parts          | body        |
      | a gateway that asks another         | blankLines  |
      | a gateway that asks another         | body        |
      | the health check of a runner        | blankLines  |
      | the health check of a runner        | headerLines |

  # Guards against the same bytes in chunks: these readers read them until the time limit of their call.
  Scenario Outline: <reader> gives up an endless <part> in a chunk
    Given a server whose answers are endless in their "<part>"
    When <reader> reads an endless answer
    Then it reports that there is none within 500 ms
    And the server's connection was closed within 500 ms and after at most 8 MiB

    Examples:
      | reader                           | part           |
      | the client of the store's lists  | chunkSize      |
      | the client of the store's lists  | paddedChunks   |
      | the client of the store's writes | chunkSize      |
      | the reader of cached parts       | laterChunkSize |
      | the reader of cached parts       | extendedChunks |
      | a gateway that asks another      | chunkSize      |
      | a gateway that asks another      | extendedChunks |

  Scenario: A connection that watches a runner ends once the runner sends without end
    Given a server that sends to each connection without end
    When a connection that watches a runner reads an endless answer
    Then the server's connection was closed within 2000 ms and after at most 32 MiB
    And the runner counts as alive

  # Guards against a limit that ends sound answers: servers write chunks of a byte, and pad their sizes.
  Scenario Outline: A sound answer of <bytes> bytes in chunks of <size> with "<padding>" ahead of their sizes is read
    Given a server whose answers are lists of <bytes> bytes in chunks of <size>, with "<padding>" ahead of their sizes
    When a reader without a time limit reads a sound answer
    Then it reports an answer

    Examples:
      | bytes   | size | padding |
      | 100     | 1    |         |
      | 60000   | 1    |         |
      | 60000   | 1    | 0000000 |
      | 600000  | 6    |         |
      | 2000000 | 64   | 0000    |
      | 8000000 | 4096 |         |

  # Guards against a copy of all that has arrived of an event for each chunk of it.
  Scenario: An event that arrives byte by byte is split in time that grows with its length
    When an event of 262144 bytes arrives in chunks of a byte
    Then the event was split whole within 2000 ms

  # Guards against memory and time for each of any number of chunks.
  Scenario: A body in chunks of a byte is given up once there are too many of them, and a long one in larger chunks is not
    When a body of 16000000 bytes arrives in chunks of 1
    Then it was given up after at most 101000 chunks
    When a body of 16000000 bytes arrives in chunks of 64
    Then it was collected whole
    When a body of 90000 bytes arrives in chunks of 1
    Then it was collected whole
