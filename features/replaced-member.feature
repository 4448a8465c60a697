# Symptom: after a loss of all power and of one disk, no majority of replicas ever acknowledged again. Of three members
#   one was complete, one restarted empty and waited for two complete others, and one did not answer at all.
# Scenario: the machine of the silent member was lost permanently. Its successor had been running for the time within
#   which a replacement must be complete, but was not a member yet: it joined 5.3 s after its first request, where 4 s
#   are allowed.
# Cause: no timer was derived from this bound of the deployment. The successor measured the silence from its own first
#   request, regardless of what the members knew; then it waited a second in favor of other zones, then for its next
#   decision.
# Reproduction: real processes, with one of three replicas lost permanently, a successor elsewhere, and all power and a
#   disk lost 4 s after its start: service never resumed with 2 of 3 seeds, and the successor's log showed each of the
#   three waits.
Feature: The successor of a lost machine is a complete member within the bound
  Scenario Outline: All power and other disks are lost at the moment when the bound of a successor ends
    When replacement histories "<kind>" with <replicas> replicas, <members> of them members, <losses> disks lost at once and <bound> milliseconds to catch up run with seeds 1 to 30
    Then no replacement violates a guarantee
    And service resumes within the sum of the recovery timers

    Examples:
      | kind      | replicas | members | losses | bound |
      | one       | 3        | 3       | 1      | 4000  |
      | one       | 3        | 3       | 1      | 6000  |
      | one       | 8        | 5       | 2      | 6000  |
      | planned   | 3        | 3       | 1      | 4000  |
      | two       | 3        | 3       | 1      | 4000  |
      | two       | 8        | 5       | 2      | 6000  |
      | storeAway | 3        | 3       | 1      | 4000  |
      | retiring  | 3        | 3       | 1      | 4000  |
      | emptied   | 3        | 3       | 1      | 4000  |
      | emptied   | 8        | 5       | 2      | 6000  |

  # Symptom: as above, in deploy/days/retired-beside-replaced.toml: one member complete, one waiting for two complete
  #   others, one not answering; service never resumes.
  # Scenario: of three machines one was retired, then another was replaced as planned. The new machine joined while the old
  #   one was still running, so there were three members when the old one was lost, and two machines in all. The lost
  #   member was never removed, since that would have left two members, and the next lost disk left one complete
  #   member of three.
  # Cause: a removal had to leave at least three members, regardless of the number of machines.
  # Reproduction: the same run with the replicas' logs: members.waits "too few left" from 1.9 s after the loss.
  Scenario: A lost member is removed from the record although few others remain
    When replacement histories "plannedAfterEmptied" with 3 replicas, 3 of them members, 1 disks lost at once and 4000 milliseconds to catch up run with seeds 1 to 30
    Then no replacement violates a guarantee

  Scenario Outline: The sums of the timers meet the bounds of each known deployment with a margin of a tenth
    Given bounds of <catchUp> ms to catch up, <recovery> ms to recover, <contact> ms for contact, <members> members in <zones> zones
    Then the sums of the replicas' timers meet all bounds

    Examples:
      | catchUp | recovery | contact | members | zones |
      | 4000    | 12000    | 3000    | 3       | 3     |
      | 4800    | 12000    | 3000    | 3       | 3     |
      | 6000    | 15000    | 4000    | 5       | 3     |
      | 4300    | 12000    | 3000    | 3       | 3     |
      | 15000   | 15000    | 4000    | 5       | 4     |

  Scenario: The sums also meet them where a zone is away whose replicas would join first
    Given bounds of 6000 ms to catch up, 15000 ms to recover, 4000 ms for contact, and members spread over zones
    Then the sums of the replicas' timers meet all bounds

  Scenario: Bounds that are not met are reported
    Given bounds of 3000 ms to catch up, 3000 ms to recover, 1500 ms for contact, 3 members in 3 zones
    Then "a machine replaced", "service after a return", "contact" are unmet

  # A replica that took over the address of a lost member would otherwise make that member count as present, and so
  # keep it in the record forever.
  Scenario: Another replica that answers at a member's address is not taken for that member
    Given a replica beside a member "b" at whose address "c" answers
    When 5000 milliseconds pass at the replica
    Then it considers "b" silent for at least 4500 milliseconds

  # Symptom: found by code review while the incident above was traced, then in every such run.
  # Scenario: two of five members were lost permanently. A member was removed only once all other members, including the
  #   other lost one, had read each other's logs, so neither ever was. With seven members of which two are lost, the next
  #   two lost disks leave three where four must acknowledge.
  # Cause: the removal required all other members instead of a majority without the removed one.
  Scenario: Two members that are lost at the same time do not keep each other in the record
    When replacement histories "both" with 8 replicas, 5 of them members, 2 disks lost at once and 6000 milliseconds to catch up run with seeds 1 to 30
    Then no replacement violates a guarantee

  # Symptom: found by code review while the incident above was traced, then in such runs.
  # Scenario: a turn was acknowledged by the members that are cut off and one other. After their removal, fewer members
  #   were asked before a turn was reported as missing, and the others had not yet copied it from the one that holds it.
  # Cause: a write acknowledged under earlier epochs was assumed to be on all members as soon as the record changed.
  Scenario Outline: A turn acknowledged just before the members changed is not reported as missing
    When partition histories with <replicas> replicas, <members> of them members, of which <cut> are cut off from the others, run with seeds 1 to 40
    Then no stored turn is reported as missing, although the members changed

    Examples:
      | replicas | members | cut |
      | 4        | 3       | 1   |
      | 5        | 5       | 1   |
      | 5        | 5       | 2   |
      | 8        | 5       | 2   |
