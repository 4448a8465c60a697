Feature: Explaining a request from logs
  Scenario: What became of a request is told in order, with what decided it
    Given logs of two nodes, mixed, with a request that failed at one runner and was answered by another
    When the request is explained
    Then the sentences name, in order, the failed try, the belief about its runner and the answer

  Scenario: A request that no line names
    Given logs of two nodes, mixed, with a request that failed at one runner and was answered by another
    When another request is explained
    Then nothing is said

  Scenario: Why a program was kept out is told with the figures that decided it
    Given a log of a program that was kept out
    When the request is explained
    Then the sentence names the wait, what was bearable, who goes before, their age and the pause

  Scenario: The time of programs is split by what held them up
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

  Scenario: A reader that stops reading stops nothing
    Given a writer whose reader has stopped reading
    When 100000 lines are written
    Then the bytes that wait are bounded and the dropped lines are counted
    When the reader reads again
    Then it is told how many lines were dropped

  Scenario: Lines that come within a moment go out in one write
    Given a writer that gathers lines
    When 50 lines are written
    Then nothing is written yet
    When the moment is over
    Then all 50 lines went out in one write
    When 3 lines are written
    Then 3 lines are handed over when the process ends

  Scenario: Every event and metric of the code is documented, and no other
    Then the events and metrics named in the code are those of its reference page
