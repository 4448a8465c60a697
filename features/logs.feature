Feature: Explaining a request from logs
  Scenario: The handling of a request is explained in order, with the inputs that decided it
    Given interleaved logs of two nodes, with a request that failed at one runner and was answered by another
    When the request is explained
    Then the sentences name, in order, the failed attempt, the state of its runner and the answer

  Scenario: A request that no log line names
    Given interleaved logs of two nodes, with a request that failed at one runner and was answered by another
    When another request is explained
    Then no sentence is returned

  Scenario: A request is explained with the rule that excluded runners
    Given a log of a request that was placed elsewhere since the rule "evacuatedZone" excluded its runner
    When the request is explained
    Then the sentences name the rule of the attempt and of the placement

  Scenario: A program that was not admitted is explained with the figures that decided it
    Given a log of a program that was not admitted
    When the request is explained
    Then the sentence names the expected wait, the limit, the requests ahead, the age of the load and the retry delay

  Scenario: The time of programs is split by cause
    Given logs of a program that was late, one that was in time and one whose last answer was lost
    When the losses are reported
    Then the late program spent these milliseconds
      | before the first try  | 10  |
      | waiting at the runner | 40  |
      | reading               | 50  |
      | generating            | 100 |
      | tool calls            | 250 |
      | refused               | 30  |
      | client pauses         | 120 |
    And of 3 programs 1 was in time, 1 late and 1 failed
    And any program's parts add up to its time

  Scenario: A stalled reader does not block the writer
    Given a writer whose reader has stopped reading
    When 100000 lines are written
    Then the queued bytes are bounded and the dropped lines are counted
    When the reader resumes reading
    Then a line reports how many lines were dropped

  Scenario: Lines written within the flush delay go out in one write
    Given a writer with a flush delay
    When 50 lines are written
    Then nothing is written yet
    When the flush delay has passed
    Then all 50 lines went out in one write
    When 3 lines are written
    Then 3 lines are left to be written when the process exits

  Scenario: Every event and metric of the code is documented, and no other
    Then the events and metrics named in the code are those of its reference page
