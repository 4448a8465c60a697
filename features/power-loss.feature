# Seen: after all power was lost and one of three disks with it, no request of a program was served any more:
#   replicas answered, and no majority acknowledged.
# How: each life of a replica writes a new file and synced its content, never the folder that its name stands in.
#   Disks may keep the content and lose the name; the replica then starts without what it had acknowledged, and
#   without its word that its state is complete. With the disk that was lost besides, one complete replica of
#   three is left, and none of the others can ever become complete.
# Cause: something was promised before all that it rests on was durable.
# Proof: the scenarios below lose each name that was not synced, on real files.
Feature: What a replica acknowledged outlasts a loss of power
  Names of files that were made or removed without a sync of their folder are kept or lost by themselves.

  Scenario: All names that were not synced are lost
    Given a replica's disk that has acknowledged 20 turns and that it is complete
    When power is lost with every name that was not synced
    Then all that was acknowledged is there when the disk is opened again

  Scenario Outline: Lives, losses of power and compactions in any order
    Given a replica's disk whose writes, lives and losses of power are drawn from seed <first> to <last>
    Then all that was acknowledged was there at each start

    Examples:
      | first | last |
      | 1     | 25   |

  Scenario: Three replicas lose all power and one its disk, and service is back
    Given three replicas with disks of their own that have acknowledged 10 turns together
    When power is lost at all of them with every name that was not synced, and one disk besides
    Then two replicas are complete at once and the third within 5 seconds
    And every turn is found again
