Feature: The disk of a replica
  What is superseded or past its time leaves the disk, and callers' writes never wait for that.

  Scenario: A state larger than the bound is not written anew with each change
    Given a replica's disk with 60 MB of turns that all live
    When 10 reservations are written one after another
    Then the state was written anew once at most

  Scenario: A write waits for one slice of a compaction at most
    Given a replica's disk with 60 MB of turns that all live
    When a reservation is written as the state begins to be written anew
    Then less than 8 MB reached the disk before it was durable

  Scenario: What changes during a compaction is kept, and the old segments go
    Given a replica's disk with 60 MB of turns that all live
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

  Scenario: Changes past their time leave the log, and who lacks the others is still told them
    Then of any turns and reservations, whoever has read a part of the log is told all that live of the rest
    And a log whose changes are all past their time is empty
