Feature: Messages with senseless content
  A replica listens to every process that reaches its port.

  # Guards against a message that ends a replica, or whose record keeps it from starting again.
  Scenario Outline: A replica outlives <messages>, and so does what it stored
    Given a replica at a port, with a disk
    When it gets 1500 <messages>, seed <seed>
    Then no exception was thrown outside the decoding of messages
    And a reservation at that replica is acknowledged
    And its disk is read again without an error, with that reservation

    Examples:
      | messages                       | seed |
      | messages with senseless values | 1    |
      | messages with wrong bytes      | 2    |

  # Guards against a name that doesn't fit its length field once its invalid bytes were replaced: such a record could not be read.
  Scenario: Names of invalid UTF-8 are refused
    Given a replica at a port, with a disk
    When it gets a reservation of a program whose name is 40000 invalid bytes
    Then its disk is read again without an error

  # Guards against a single record, left by an earlier build, that keeps a replica from starting for good.
  Scenario: A record that can't be decoded counts as unknown, and the others are read
    Given a replica at a port, with a disk
    When a record of a name that is longer than its length field is written, and a reservation after it
    Then its disk is read again with 1 unknown record, and with that reservation

  # Guards against a turn of 64 KB that precedes itself: its chain took 655 MB, more than a replica's memory.
  Scenario Outline: A chain that never begins, or that no reply can carry, is not put together
    Given a replica at a port, with a disk
    When it copies <turns> turns of <KB> KB, each after the next, and the last after the first
    Then a read of that chain is answered "unsure" within 64 KB

    Examples:
      | turns | KB    |
      | 1     | 64    |
      | 3     | 64    |
      | 5     | 16000 |

  # Guards against tables that are bounded by count only: 600,000 ids of 1,000 bytes took five times the heap of a replica.
  Scenario: Long ids of streams take no more memory than short ones
    Given a replica at a port, with a disk
    When it gets the origins and contents of 50000 streams with ids of 2000 bytes
    Then it knows the origins of the last 5000 streams, and of at most 22000

  # Guards against turns that are never dropped, and versions that stay listed until all members restart.
  Scenario Outline: A time span that is none is refused
    Given a replica at a port, with a disk
    When it gets a turn whose retention, and a version whose age, is <milliseconds> ms
    Then 2 messages were refused, and it holds neither

    Examples:
      | milliseconds |
      | NaN          |
      | Infinity     |
      | -1           |

  # Guards against exceptions of a replica that no operator sees: they were logged as messages that can't be read, and not counted.
  Scenario: Messages whose handling throws are counted, and logged once
    Given a replica at a port, with a disk
    When it gets 20 reservations whose handling throws
    Then its metrics have the line 'ivyloom_exceptions_total{scope="message"} 20'
    And 1 to 3 exceptions were logged with their stack, and no message as unreadable
    And a reservation at that replica is acknowledged
