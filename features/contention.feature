Feature: Callers that compete for too little room

  Scenario Outline: A program begins where it can bear the wait that it would meet
    Given runners with 100 places and <ahead> requests that go before it, of which <urgent> are more urgent
    When a program of 6 turns with <left> ms left begins
    Then it is <admitted>

    Examples:
      | ahead | urgent | left | admitted |
      | 20    | 0      | 3000 | let in   |
      | 99    | 0      | 100  | let in   |
      | 110   | 0      | 3000 | let in   |
      | 110   | 99     | 3000 | kept out |
      | 400   | 0      | 3000 | kept out |

  Scenario: A program that was let in stays so, however full the runners are
    Then a program that was let in before is let in again whatever the load

  Scenario: A program that ran through another gateway stays under way
    Then a turn that shows that its program has run is let in where a new program is kept out

  Scenario: A program that ran through another gateway is not charged to its tenant's limit as a new one
    Then of a tenant's first requests here, only that of a program that no runner knows begins a program

  Scenario: Without runners no new program begins
    Then with no places a new program is kept out and a program under way isn't

  Scenario: Refused clients come back within what they wait, and not together
    Then pauses lie between half of what is expected and a third of the request's time, whatever the figures

  Scenario: Who is behind counts for nothing to who goes before
    Then requests of later ranks at all gateways are told apart from those of earlier ranks

  Scenario: With places free none is kept out, whatever the rank
    Then programs of each rank begin among 130 requests of their own rank at 200 places
    And programs of each rank bear equals as well as any other rank does

  Scenario: Absurd sizes are taken for sizes that aren't told
    Then whatever clients and engines tell, token counts are those of possible prompts
    And a fit stays finite whatever it observes, and goes on learning

  Scenario: A few odd requests don't change what is learned of their kind
    Then a request that tells few parts or none, or is refused, doesn't make others of its route sub-agents
    And turns of programs that began elsewhere don't grow what a program is believed to need beyond 64

  Scenario: On-time work of less urgent tenants doesn't keep out more urgent ones
    Then a new program waits for late programs of its own rank, here and at others, and not for on-time ones of the next tenants

  Scenario: Without places the expected wait stays a number
    Then a program that is refused for want of places leaves the sum of expected waits finite

  Scenario: A million programs and kinds take bounded memory
    Then a million distinct programs and kinds leave bounded tables

  Scenario: Absurd figures let in or keep out, and break nothing
    Then whatever clients tell, a program is let in or kept out with a pause within its request's time

  Scenario Outline: In a burst as much is earned as under a fixed limit of each gateway, however old the loads are
    Given a day with a burst of <factor> times in <kinds> and loads told <age> ms late
    When the day is played with predicted finishes and with one limit of each gateway
    Then predicted finishes earn no less, and less urgent kinds no less
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

  Scenario: When half of the runners go, as much is earned as under a fixed limit of each gateway
    Given a day with a burst of 1 times in all and loads told 300 ms late
    And 17 of the 34 engines lost at second 6
    When the day is played with predicted finishes and with one limit of each gateway
    Then predicted finishes earn no less, and less urgent kinds no less
    And urgent programs are served no less often than less urgent ones

  @known-red
  Scenario: Gateways are cut in two halves that don't hear each other
    Given a day with a burst of 2.5 times in all and loads told 300 ms late
    And gateways cut in two halves
    When the day is played with predicted finishes and with one limit of each gateway
    Then predicted finishes earn no less, and less urgent kinds no less
    And urgent programs are served no less often than less urgent ones

  Scenario: Gateways are cut in two halves, and urgent programs are served as before
    Given a day with a burst of 2.5 times in all and loads told 300 ms late
    And gateways cut in two halves
    When the day is played with predicted finishes and with one limit of each gateway
    Then urgent programs are served no less often than less urgent ones
    And no more programs and no more requests are refused
