Feature: Histories of configuration and runners under faults of the store and the network
  Scenario Outline: Acknowledged changes are in force at every gateway in touch and are never reverted
    When configuration histories run from seed <first> to <last> with <gateways> gateways
    Then no check finds a violation

    Examples:
      | first | last | gateways |
      | 1     | 30   | 1        |
      | 31    | 60   | 3        |
      | 61    | 64   | 12       |
      | 2     | 2    | 60       |

  # Symptom: a gateway lacked an evacuation for longer than the bound while others, which it depends on, were frozen.
  Scenario: An evacuation is in force at 60 gateways of which some were frozen
    When configuration histories run from seed 29 to 29 with 60 gateways
    Then no check finds a violation

  # Symptom: a gateway lacked a version for longer than the bound while others, which it depends on, were cut off.
  Scenario: A version is in force at 24 gateways of which some were cut off
    When configuration histories run from seed 50023 to 50023 with 24 gateways
    Then no check finds a violation

  # Guards against bounds that hold only while the gateways that others hear from are up.
  Scenario Outline: Changes are in force when the first-ranked gateways of all zones stall around them
    When configuration histories with stalled first-ranked gateways run from seed <first> to <last> with <gateways> gateways
    Then no check finds a violation

    Examples:
      | first | last | gateways |
      | 1     | 12   | 12       |
      | 12    | 18   | 24       |
      | 1     | 1    | 60       |
      | 6     | 6    | 60       |
      | 10    | 10   | 60       |

  Scenario Outline: The checks detect an injected fault
    When histories with the injected fault "<fault>" and 3 gateways run until one of 40 seeds fails
    Then one violates an invariant, also with a minimized list of faults

    Examples:
      | fault              |
      | watchBelieved      |
      | oldReads           |
      | boundIgnored       |
      | goesBack           |
      | evacuationsDelayed |
