Feature: Turns are retained for as long as they may be continued
  Once a turn was answered whole, any gateway can continue it until its retention time is over.

  # Guards against a turn that is answered whole although its predecessors expire before it, so that only one gateway can continue it.
  Scenario Outline: Seeded histories of turns that outlast their predecessors violate no guarantee
    When retention histories run from seed <first> to <last>
    Then no retention history violates a guarantee
    And some turns were stored after their predecessor's retention time

    Examples:
      | first | last |
      | 1     | 20   |

  # Guards against a predecessor that is copied after its successor and expires before it.
  Scenario: A predecessor that is added after its successor is retained as long
    Given a replica with a turn that is retained for 60 s and lacks its predecessor
    When the predecessor is copied, which is retained for 5 s
    Then the chain of the turn is whole for 60 s, and is dropped after 75 s

  # Guards against a member that keeps a turn without its predecessors for good, although others hold it whole.
  Scenario: A member whose turn lacks its predecessors copies it from a member that needs none
    Given 3 replicas, of which one has a turn without its predecessor and another has the same turn with its chain in the input
    When 3000 milliseconds pass at the replicas
    Then all 3 replicas hold the same chain

  # Guards against a record on disk that has the predecessors neither in its input nor by name.
  Scenario: A turn that is stored in both forms is the same after a restart
    Given 3 replicas that hold a turn and its predecessor
    When the turn is stored again with its chain in the input, and all replicas restart
    Then all 3 replicas hold the same chain

  # Guards against a member that acknowledges a turn whose chain it can't read.
  Scenario: A turn whose predecessor is unknown is not acknowledged, and is stored once it needs none
    Given 3 replicas that hold a turn and its predecessor
    When a turn that continues an unknown one is stored without a prompt
    Then it is not stored
    When a turn that continues an unknown one is stored with a prompt
    Then all 3 replicas hold the prompt and the output as its chain

  # Guards against a program that spends its budget again when it comes back: its account was dropped before its turns.
  Scenario: The account of a program is retained for as long as its turns
    Given a replica with a turn that is retained for 600 s, and the reservation of its tokens
    Then the reservation is there after 600 s, and is dropped after 615 s

  # Guards against accounts that are never dropped, and against a program without retained turns that spends its budget again.
  Scenario: The account of a program without retained turns is retained for 300 s
    Given a replica with the reservation of the tokens of a turn
    Then the reservation is there after 295 s, and is dropped after 305 s

  # Guards against accounts of tenants' programs that are dropped before their turns, since the two have different ids.
  Scenario: A reservation has the id under which its turn is stored
    When a turn "t" of program "p" of tenant "acme" is prepared
    Then tokens were reserved for turn "4:acme:t" of program "4:acme:p"
