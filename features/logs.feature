Feature: Explaining a request from logs
  Scenario: What became of a request is told in order, with what decided it
    Given logs of two nodes, mixed, with a request that failed at one runner and was answered by another
    When the request is explained
    Then the sentences name, in order, the failed try, the belief about its runner and the answer

  Scenario: A request that no line names
    Given logs of two nodes, mixed, with a request that failed at one runner and was answered by another
    When another request is explained
    Then nothing is said

  Scenario: A reader that stops reading stops nothing
    Given a writer whose reader has stopped reading
    When 100000 lines are written
    Then the bytes that wait are bounded and the dropped lines are counted
    When the reader reads again
    Then it is told how many lines were dropped

  Scenario: Every event and metric of the code is documented, and no other
    Then the events and metrics named in the code are those of its reference page
