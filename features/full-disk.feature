Feature: A replica whose disk is full

  Scenario: A write on a full disk fails at once, and is on the disk when there is space again
    Given a replica's disk that gets full
    When a turn is kept on the full disk
    Then it is refused within 300 ms, and so are 20 more without a file being left behind
    And a chain that was kept before is still read
    When the disk has space again
    Then within 1500 ms a turn is kept, and all that was acknowledged is on the disk

  Scenario: With a minority of full disks service goes on, with a majority it is refused at once
    Given members with 5 disks in one region
    When the disks of 2 members are full
    Then a turn is stored within 700 ms
    When the disks of 3 members are full
    Then a reservation is refused within 100 ms
    When all disks have space again
    Then a turn is stored within 700 ms
    And within 6000 ms all 5 members hold every turn

  # Guards against a replica that keeps all writes in memory while its disk fails, until it exceeds its memory limit.
  Scenario Outline: What waits for a disk that takes no writes is bounded, and callers are refused
    Given a replica's disk that fails when told
    When its <fault> and 400 turns of 256 KB are kept
    Then within 3000 ms at most 34 MB wait, and at least 260 turns are refused
    And a file is not left behind by each attempt
    When the disk works again
    Then within 5000 ms another turn is kept, and all that was acknowledged is on the disk

    Examples:
      | fault             |
      | writes fail       |
      | files are refused |
      | syncs hang        |
