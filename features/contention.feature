Feature: Admission control under overload

  Scenario Outline: A program is admitted if its predicted wait is acceptable
    Given runners with 100 slots and <ahead> requests ahead of it, of which <urgent> are more urgent
    When a program of 6 turns with <left> ms left starts
    Then the program is <admitted>

    Examples:
      | ahead | urgent | left | admitted |
      | 20    | 0      | 3000 | admitted |
      | 99    | 0      | 100  | admitted |
      | 110   | 0      | 3000 | admitted |
      | 110   | 99     | 3000 | refused  |
      | 400   | 0      | 3000 | refused  |

  Scenario: An admitted program stays admitted, however full the runners are
    Then a program that was admitted before is admitted again whatever the load

  Scenario: A program that ran through another gateway stays admitted
    Then a turn that shows that its program has run before is admitted where a new program is refused

  # Guards against refusing, as a new program, one whose stream is resumed at another gateway.
  Scenario: A program whose stream is resumed here has run before
    Then a request that resumes a stream does not start a program, and another one does

  Scenario: A program that ran through another gateway is not charged to its tenant's quota as a new one
    Then of a tenant's first requests here, only that of a program without cached prompts starts a program

  Scenario: Without runners no new program starts
    Then without slots a new program is refused and a program in progress is not

  Scenario: Refused clients retry within the time they have, and not together
    Then retry delays lie between half of the expected delay and a third of the request's time, whatever the inputs

  Scenario: Less urgent requests don't count as ahead
    Then requests of less urgent ranks at all gateways are counted apart from those of more urgent ranks

  Scenario: With free slots no program is refused, whatever its rank
    Then programs of each rank are admitted among 130 requests of their own rank at 200 slots
    And programs of every rank are admitted among equals up to the same load

  Scenario: Absurd sizes count as sizes that are not given
    Then whatever clients and engines send, token counts are plausible
    And a fit stays finite whatever it observes, and goes on learning

  Scenario: A few odd requests don't change the statistics of their kind
    Then a request that reports few parts or none, or is refused, doesn't make others of its route sub-agents
    And turns of programs that started elsewhere don't raise the expected turns of a program above 64

  Scenario: On-time work of less urgent tenants doesn't cause refusals of more urgent ones
    Then a new program waits for late programs of its own rank at all gateways, and not for on-time ones of the next tenants

  Scenario: Without slots the sum of predicted waits stays finite
    Then a program that is refused for lack of slots leaves the sum of predicted waits finite

  Scenario: A million programs and kinds take bounded memory
    Then a million distinct programs and kinds leave tables of bounded size

  Scenario: Absurd inputs lead to an admission or a refusal, and break nothing
    Then whatever clients send, a program is admitted, or refused with a retry delay within its request's time

  Scenario Outline: In a burst at least as much is earned as with a limit at each gateway, however old the load figures are
    Given a load with a burst of <factor> times in <kinds> and load figures <age> ms old
    When the load is simulated with predicted waits and with a limit at each gateway
    Then predicted waits earn no less, and less urgent kinds no less
    And urgent programs are served no less often than less urgent ones
    And no more programs and no more requests are refused

    Examples:
      | factor | kinds | age  |
      | 2.5    | all   | 50   |
      | 2.5    | all   | 300  |
      | 2.5    | all   | 1000 |
      | 2.5    | less  | 300  |
      | 1.6    | all   | 300  |
      | 1      | all   | 300  |

  Scenario: When half of the engines fail, at least as much value is earned as with a limit at each gateway
    Given a load with a burst of 1 times in all and load figures 300 ms old
    And 17 of the 34 engines failing at second 6
    When the load is simulated with predicted waits and with a limit at each gateway
    Then predicted waits earn no less, and less urgent kinds no less
    And urgent programs are served no less often than less urgent ones

  # Symptom: each half of the gateways knew half of the load and admitted programs that ended too late.
  Scenario: Gateways are cut in two halves that don't hear each other
    Given a load with a burst of 2.5 times in all and load figures 300 ms old
    And gateways partitioned into two halves
    When the load is simulated with predicted waits and with a limit at each gateway
    Then predicted waits earn no less, and less urgent kinds no less
    And urgent programs are served no less often than less urgent ones

  # Guards against load that no other gateway reports, when the halves knew each other before.
  Scenario: Gateways are cut in two halves in the middle of a burst
    Given a load with a burst of 2.5 times in all and load figures 300 ms old
    And gateways partitioned into two halves from second 6
    When the load is simulated with predicted waits and with a limit at each gateway
    Then predicted waits earn no less, and less urgent kinds no less
    And urgent programs are served no less often than less urgent ones

  # Guards against long waits at one runner that are taken for load that is not reported.
  Scenario: One slow engine among many causes few refusals
    Given a load with a burst of 1 times in all and load figures 300 ms old
    And an engine that is 10 times slower than the others
    When the load is simulated with predicted waits and with a limit at each gateway
    Then predicted waits earn no less, and less urgent kinds no less
    And no program is refused for good, and at most 1 in 100 requests

  Scenario: The load of a service is raised by long waits, within bounds, and the correction is forgotten
    Then waits of 4 turns that were not predicted raise the load of their service alone, to at most 4 times
    And without further waits the load is as reported after 120 seconds
    And single long waits among many turns that don't wait leave the load as reported
    And absurd waits leave the load between 1 and 4 times the reported one

  Scenario: With the gateways partitioned into two halves, urgent programs are served as before
    Given a load with a burst of 2.5 times in all and load figures 300 ms old
    And gateways partitioned into two halves
    When the load is simulated with predicted waits and with a limit at each gateway
    Then urgent programs are served no less often than less urgent ones
    And no more programs and no more requests are refused
