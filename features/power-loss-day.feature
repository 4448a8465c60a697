# Failure: after long scenarios with replaced machines, one retired machine, an unreachable membership store and a final
#   loss of all power and some disks, service did not return, or returned and was lost again.
# Course: a machine was retired, another became a member in its place, and other machines lost their disks at that moment.
#   Too few complete replicas were left for the others ever to become complete. Before the fix, 72 of 300 such scenarios
#   with 4 replicas violated an invariant, 42 of 300 with 8, 1 of 150 with 14.
# Cause: the same as in completeness.feature.
Feature: Replaced machines, an unreachable membership store and a loss of all power
  Scenario Outline: Service returns in time and stays, and a machine is retired in time
    When power loss scenarios with <replicas> replicas, <members> of them members, and <losses> disks lost at once run from seed 1 to <last>
    Then no power loss scenario violates an invariant
    And turns were stored in each power loss scenario

    Examples:
      | replicas | members | losses | last |
      | 4        | 3       | 1      | 40   |
      | 8        | 5       | 2      | 40   |
      | 14       | 5       | 2      | 15   |
