Feature: The disk of a replica
  Superseded and expired state is removed from the disk, and callers' writes never wait for that.

  Scenario: A state larger than the compaction threshold is not compacted after each change
    Given a replica's disk with 60 MB of live turns
    When 10 reservations are written one after another
    Then the state was compacted at most once

  Scenario: A write waits for at most one slice of a compaction
    Given a replica's disk with 60 MB of live turns
    When a reservation is written as a compaction starts
    Then less than 8 MB were written to the disk before it was durable

  Scenario: Changes during a compaction are preserved, and the old segments are removed
    Given a replica's disk with 60 MB of live turns
    When 10 reservations are written one after another
    And the compaction is over
    And the disk is closed and read again
    Then all turns and 10 reservations are there
    And the disk holds less than 100 MB

  Scenario Outline: When a compaction is due
    Then a disk of <MB> MB in <segments> segments of which <left MB> MB in <left> were left is <due>

    Examples:
      | MB  | segments | left MB | left | due     |
      | 47  | 6        | 0       | 0    | not due |
      | 48  | 6        | 0       | 0    | due     |
      | 148 | 18       | 100     | 13   | not due |
      | 150 | 18       | 100     | 13   | due     |
      | 380 | 40       | 300     | 30   | not due |
      | 1   | 12       | 0       | 0    | due     |

  Scenario: Expired changes are removed from the log, and readers still receive all others
    Then any reader of a part of the log receives all unexpired turns and reservations of the rest
    And a log whose changes have all expired is empty
