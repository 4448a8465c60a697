Feature: A replica without memory for more turns

  # Guards against a replica that keeps turns until its machine kills it, and its successor after it.
  Scenario: Turns are refused while what is needed takes the memory, and kept again once there is room
    Given a replica with a memory limit of 100 MB
    When 85 MB are in use, of which 70 MB are needed
    Then 3 turns are kept
    When 85 MB are in use, of which 85 MB are needed
    Then after one more turn 20 turns are refused, and a log line says so
    And what was kept before is still read
    And a reservation is still taken
    When 70 MB are in use, of which 70 MB are needed
    Then 3 turns are kept

  # Guards against a member that never holds all that others have kept.
  Scenario: Turns of other members are copied beyond the share for those of callers
    Given a replica with a memory limit of 100 MB
    When 80 MB are in use, of which 80 MB are needed
    Then after one more turn 20 turns are refused, and a log line says so
    But turns of other members may be copied
    When 88 MB are in use, of which 88 MB are needed
    Then turns of other members may not be copied

  # Guards against a replica that copies from others what it has refused.
  Scenario: Members without memory hold no more turns, and copy what they lack once they have room
    Given members with 5 disks in one region
    When the memory of 2 members is used up
    Then a turn is stored within 700 ms
    And after 3000 ms 3 members hold every turn
    When all members have memory again
    Then a turn is stored within 700 ms
    And within 6000 ms all 5 members hold every turn
