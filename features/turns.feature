Feature: Conversation turns and token accounts
  Turns that were answered completely can be read again, and no program gets more tokens than its budget,
  through any gateway, even when one disk is lost and all other machines lose power.

  Scenario Outline: Seeded fault histories violate no guarantee
    When turn histories run from seed <first> to <last>
    Then no turn history violates a guarantee
    And turns were stored, and reservations were granted and refused
    And every kind of fault occurred

    Examples:
      | first | last |
      | 1     | 30   |

  Scenario Outline: Histories with standby replicas violate no guarantee
    When turn histories run from seed <first> to <last> with 8 replicas, 3 of them members
    Then no turn history violates a guarantee
    And turns were stored, and reservations were granted and refused
    And every kind of fault occurred

    Examples:
      | first | last |
      | 1     | 30   |

  Scenario Outline: Histories in which two replicas are lost at once violate no guarantee
    When turn histories run from seed <first> to <last> with <replicas> replicas, 5 of them members, and 2 lost at once
    Then no turn history violates a guarantee
    And turns were stored, and reservations were granted and refused
    And every kind of fault occurred

    Examples:
      | first | last | replicas |
      | 1     | 25   | 9        |

  Scenario: The number of members is the minimum that the tolerated losses require
    Then with the members that a number of losses requires, a majority survives these losses
    And with one member fewer no majority would survive, or the minimum would not be met

  Scenario Outline: The checker detects an injected fault
    When turn histories run with the injected fault "<fault>"
    Then the guarantee about "<guarantee>" is violated

    Examples:
      | fault                                  | guarantee |
      | an emptied replica copies nothing      | history   |
      | replicas acknowledge before the disk   | history   |
      | accounts never reach the disks         | budget    |

  Scenario: Reservations merge to the same account in any order
    Then reservations merge to the same account in any order and any number of times

  Scenario: Majorities of consecutive epochs overlap
    Then any majority of a record overlaps any majority of the record with one member more

  Scenario Outline: How a replica decides on the membership record
    Given replicas "<members>" and this one is "<self>"
    And its state is <state>
    When members "<silent>" are silent, it is caught up with "<level>" and machines "<retiring>" are being retired
    Then it decides to <action>

    Examples:
      | members | self | state      | silent | level | retiring | action    |
      |         | a    | incomplete |        |       |          | Create    |
      | b       | a    | incomplete |        | b     |          | Join      |
      | b       | a    | incomplete |        |       |          | Wait      |
      | b c d   | a    | incomplete |        | b     |          | Wait      |
      | b c d   | a    | incomplete |        | b c   |          | Join      |
      | b c d   | a    | incomplete |        | b c   | a        | Wait      |
      | a b c   | a    | complete   | c      | b     |          | Remove c  |
      | a b c   | a    | complete   | c      |       |          | Wait      |
      | a b c   | b    | complete   | c      | a     |          | Wait      |
      | a b c   | a    | complete   | b c    | b c   |          | Wait      |
      | a b     | a    | complete   | b      | b     |          | Wait      |
      | a b c d | a    | complete   | d      | b c   |          | Remove d  |
      | a b c d | a    | complete   | d      | b     |          | Wait      |
      | a b c d | b    | complete   | d      | a c   |          | Wait      |
      | a b c d | a    | incomplete | d      | b c   |          | Wait      |
      | a b c d | a    | complete   |        | b c d | a        | Remove a  |
      | a b c   | a    | complete   | c      | b c   | a        | Wait      |

  Scenario Outline: A replica joins while there are too few members, replicas in other zones first
    Given replicas "" and this one is "a"
    When <wanted> members are wanted and the record has named "<members>" with zones "<zones>" for <vacant> milliseconds
    Then it decides to <action>

    Examples:
      | wanted | members | zones    | vacant | action |
      | 3      | b c     | z2 z3    | 0      | Join   |
      | 3      | b c d   | z2 z3 z4 | 9000   | Wait   |
      | 5      | b c d   | z1 z2 z3 | 900    | Wait   |
      | 5      | b c d   | z1 z2 z3 | 1100   | Join   |
      | 5      | b c d   | z1 z1 z3 | 1100   | Wait   |

  Scenario: Only as many replicas as wanted are members; standbys fill vacancies
    Given 9 replicas of which 5 are to be members
    Then 5 replicas are active
    When one active replica is lost permanently
    Then within 6500 milliseconds 5 replicas are active
    When a standby replica is being retired
    Then within 1000 milliseconds its retirement is reported as finished

  Scenario: A standby replaces a lost member of a record that names only three
    Given 4 replicas of which 3 are to be members
    Then 3 replicas are active
    When one active replica is lost permanently
    Then within 9000 milliseconds 3 replicas are active
    When one active replica loses its disk
    Then within 3000 milliseconds 3 replicas are active

  Scenario: A missing turn is copied from one other replica, not from all
    Given 5 replicas that are members
    When 150 turns are stored
    Then within 3000 milliseconds all replicas hold all turns
    And each turn was copied 1.3 times on average at most
    When replica "m5" loses its disk and starts again
    Then within 5000 milliseconds all replicas hold all turns
    And each turn was copied 1.3 times on average at most

  Scenario: Replicas compare their reservations by digests alone
    Then any two sets of reservations converge when the reservations of missing digests are exchanged
    And a replica that holds a settled reservation does not fetch its open state

  Scenario Outline: A write reaches a majority with few messages and despite dead replicas
    Given <members> replicas of which <dead> never answer and <refusing> refuse
    When 40 writes with distinct keys are made
    Then <written> are acknowledged by a majority, with at most <messages> messages

    Examples:
      | members | dead | refusing | written | messages |
      | 3       | 0    | 0        | 40      | 120      |
      | 9       | 0    | 0        | 40      | 240      |
      | 9       | 4    | 0        | 40      | 360      |
      | 9       | 0    | 4        | 40      | 360      |
      | 9       | 2    | 3        | 0       | 360      |
      | 3       | 0    | 2        | 0       | 120      |

  Scenario: A busy machine is retired in time
    Given 4 replicas that take 200 writes a second
    When machine "m1" is being retired
    Then within 3000 milliseconds its retirement is reported as finished and the others hold every turn

  Scenario: A machine is retired although a member died after reading its whole log
    Given 4 replicas that take 50 writes a second
    When machine "m1" is being retired while no report of it gets through
    And machine "m3" dies after 2000 milliseconds and reports get through again
    Then within 1500 milliseconds its retirement is reported as finished and the others hold every turn

  Scenario: A machine is retired although another one joined before all members had read its log
    Given 7 replicas of which 5 are to be members that take 50 writes a second
    When machine "m1" is being retired and "m3" pauses for 2500 milliseconds as it leaves
    Then within 3000 milliseconds its retirement is reported as finished and the others hold every turn

  # Guards against a report of a finished retirement, after a restart, for data that no other disk holds.
  Scenario: A machine that is killed as it leaves isn't reported as retired before others hold what it holds
    Given 4 replicas that take 50 writes a second
    When machine "m1" leaves as it is being retired, with turns that no other one has read, and is killed and started
    Then while the others can't read it, its retirement isn't reported as finished for 15000 milliseconds
    And once they can, its retirement is reported as finished within 5000 milliseconds and two others hold its turns

  # Guards against a retirement that is never finished, because no member can read the machine again.
  Scenario: A machine that is killed as it leaves is reported as retired once all that it holds has expired
    Given 4 replicas that take 50 writes a second
    When machine "m1" leaves as it is being retired, with turns that no other one has read, and is killed and started
    Then while the others can't read it, its retirement isn't reported as finished for 60000 milliseconds
    And within 20000 milliseconds its retirement is reported as finished

  # Guards against a retirement that is never finished, because a standby copied turns before it started again.
  Scenario: A standby that holds copied turns is retired in time after a restart
    Given 4 replicas of which 3 are to be members that take 50 writes a second
    When the standby loses its disk, copies turns, starts again and is being retired
    Then within 1000 milliseconds its retirement is reported as finished

  Scenario: A disk holds what was acknowledged
    Given a replica's disk with a turn, a settled reservation and its members
    When the disk is opened again
    Then the turn, the reservation and the members are there

  Scenario: A torn write loses nothing that was acknowledged
    Given a replica's disk with a turn, a settled reservation and its members
    And its newest file ends in a torn write
    When the disk is opened again
    Then the turn, the reservation and the members are there

  Scenario: A removed file that reappears after a power loss has no effect
    Given a replica's disk with a turn, a settled reservation and its members
    And an older, removed file has reappeared
    When the disk is opened again
    Then the turn, the reservation and the members are there
