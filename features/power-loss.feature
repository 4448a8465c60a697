# Symptom: after a loss of all power and of one of three disks, no request of a program was served again: replicas
#   answered, but no majority acknowledged.
# Scenario: each process of a replica creates a new file. Its content was synced, but not the folder that contains its
#   directory entry. A disk may preserve the content and lose the entry; the replica then starts without the writes that it
#   acknowledged and without its ready mark. With the other lost disk, one complete replica of three remains, and
#   neither of the others can become complete.
# Cause: writes were acknowledged before everything that they depend on was durable.
# Reproduction: the scenarios below lose every unsynced directory entry, on real files.
Feature: Acknowledged writes survive a power loss
  Directory entries created or removed without a sync of their folder may each be preserved or lost independently.

  Scenario: All unsynced directory entries are lost
    Given a replica's disk that has acknowledged 20 turns and a ready mark
    When power is lost, and with it every unsynced directory entry
    Then everything acknowledged is there when the disk is opened again

  Scenario Outline: Restarts, power losses and compactions in any order
    Given a replica's disk with random writes, restarts and power losses of seeds <first> to <last>
    Then everything acknowledged was there at each start

    Examples:
      | first | last |
      | 1     | 25   |

  Scenario: Three replicas lose power and one its disk, and service resumes
    Given three replicas with disks of their own that have acknowledged 10 turns together
    When all of them lose power and every unsynced directory entry, and one loses its disk
    Then two replicas are complete at once and the third within 5 seconds
    And every turn is found again
