Feature: Kept turns and token accounts
  Turns that were answered whole are found again, and no program gets more tokens than its budget,
  through whatever gateway, whatever happens to one disk while all power is lost elsewhere.

  Scenario Outline: Seeded histories under faults keep every promise
    When histories of turns with seeds <first> to <last> are played
    Then no promise about turns is broken
    And turns were kept, tokens granted and budgets refused
    And every kind of fault struck

    Examples:
      | first | last |
      | 1     | 30   |

  Scenario Outline: Histories in which replicas stand by keep every promise too
    When histories of turns with seeds <first> to <last> are played with 8 replicas of which 3 are to be members
    Then no promise about turns is broken
    And turns were kept, tokens granted and budgets refused
    And every kind of fault struck

    Examples:
      | first | last |
      | 1     | 30   |

  Scenario Outline: Histories in which two replicas are lost at once keep every promise too
    When histories of turns with seeds <first> to <last> are played with <replicas> replicas of which 5 are to be members and 2 are lost at once
    Then no promise about turns is broken
    And turns were kept, tokens granted and budgets refused
    And every kind of fault struck

    Examples:
      | first | last | replicas |
      | 1     | 25   | 9        |

  Scenario: As many members are named as the losses at once ask for, and no more
    Then a majority of the members named for some losses outlives them and stays a majority
    And with one member fewer it would not stay one, or too few would be left

  Scenario Outline: The checker finds a planted fault
    When histories of turns are played with the planted fault "<fault>"
    Then a promise about "<promise>" is broken

    Examples:
      | fault                                  | promise |
      | an emptied replica copies nothing      | history |
      | replicas acknowledge before the disk   | history |
      | accounts never reach the disks         | budget  |

  Scenario: An account merges to the same whatever the order
    Then reservations merge to the same account in any order and any number of times

  Scenario: Majorities of neighbouring epochs overlap
    Then any majority of a record meets any majority of the record with one member more

  Scenario Outline: What a replica does about the members
    Given replicas "<members>" and this one is "<self>"
    And its state is <state>
    When members "<silent>" are silent, it is level with "<level>" and machines "<retiring>" are to be emptied
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

  Scenario Outline: A replica joins while the record names too few, those of other zones first
    Given replicas "" and this one is "a"
    When the record is to name <wanted> members and has named "<members>" with zones "<zones>" for <vacant> milliseconds
    Then it decides to <action>

    Examples:
      | wanted | members | zones    | vacant | action |
      | 3      | b c     | z2 z3    | 0      | Join   |
      | 3      | b c d   | z2 z3 z4 | 9000   | Wait   |
      | 5      | b c d   | z1 z2 z3 | 900    | Wait   |
      | 5      | b c d   | z1 z2 z3 | 1100   | Join   |
      | 5      | b c d   | z1 z1 z3 | 1100   | Wait   |

  Scenario: No more replicas are members than the loss to be borne asks for; others take vacant places
    Given 9 replicas of which 5 are to be members
    Then 5 replicas are active
    When one active replica dies for good
    Then within 6500 milliseconds 5 replicas are active
    When a replica that stands by is to be emptied
    Then within 1000 milliseconds it is told to be empty

  Scenario: One that stands by takes the place of a member that is gone although no more than three were named
    Given 4 replicas of which 3 are to be members
    Then 3 replicas are active
    When one active replica dies for good
    Then within 9000 milliseconds 3 replicas are active
    When one active replica loses its disk
    Then within 3000 milliseconds 3 replicas are active

  Scenario: A turn that a replica lacks is copied from one other, not from all
    Given 5 replicas that are members
    When 150 turns are kept
    Then within 3000 milliseconds all replicas hold all turns
    And each turn was copied 1.3 times on average at most
    When replica "m5" loses its disk and starts again
    Then within 5000 milliseconds all replicas hold all turns
    And each turn was copied 1.3 times on average at most

  Scenario: Replicas that hold the same reservations find that out by digests alone
    Then any two sets of reservations are made level by the digests that each lacks
    And who knows a reservation settled lacks no word of it open

  Scenario Outline: A write reaches a majority with few messages and in spite of dead replicas
    Given <members> replicas of which <dead> never answer and <refusing> refuse
    When 40 writes with keys of their own are made
    Then <written> are acknowledged by a majority, with at most <messages> messages

    Examples:
      | members | dead | refusing | written | messages |
      | 3       | 0    | 0        | 40      | 120      |
      | 9       | 0    | 0        | 40      | 240      |
      | 9       | 4    | 0        | 40      | 360      |
      | 9       | 0    | 4        | 40      | 360      |
      | 9       | 2    | 3        | 0       | 360      |
      | 3       | 0    | 2        | 0       | 120      |

  Scenario: A busy machine is emptied in time
    Given 4 replicas that take 200 writes a second
    When machine "m1" is to be emptied
    Then within 3000 milliseconds it is told to be empty and the others hold every turn

  Scenario: A machine is emptied although a member died after it had read all
    Given 4 replicas that take 50 writes a second
    When machine "m1" is to be emptied while no report of it gets through
    And machine "m3" dies after 2000 milliseconds and reports get through again
    Then within 1500 milliseconds it is told to be empty and the others hold every turn

  Scenario: A machine is emptied although another took its place before all had read it
    Given 7 replicas of which 5 are to be members that take 50 writes a second
    When machine "m1" is to be emptied and "m3" stands still for 2500 milliseconds as it leaves
    Then within 3000 milliseconds it is told to be empty and the others hold every turn

  Scenario: A disk holds what was acknowledged
    Given a replica's disk with a turn, a settled reservation and its members
    When the disk is opened again
    Then the turn, the reservation and the members are there

  Scenario: A torn write costs nothing that was acknowledged
    Given a replica's disk with a turn, a settled reservation and its members
    And a write was torn off at the end of its newest file
    When the disk is opened again
    Then the turn, the reservation and the members are there

  Scenario: A removed file that comes back after a loss of power changes nothing
    Given a replica's disk with a turn, a settled reservation and its members
    And an older file came back that had been removed
    When the disk is opened again
    Then the turn, the reservation and the members are there
