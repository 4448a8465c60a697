Feature: Stages of a request
  Between the door and its first try a request passes a table of stages; each lets it go on, wait, or refuses it.

  Scenario: A refusal ends the way at its stage, and later stages are never asked
    Then a request refused by the second of three steps is told which stage refused it, and the third is not asked

  Scenario: Stages of one step begin together and all must let the request go on
    Then a step ends when the last of its stages resumes, whatever the order

  Scenario: What a stage still waits for counts no more once the request is over
    Then a stage that resumes after the request is over neither goes on nor refuses it

  Scenario: What a request holds is given back once, however late it was granted
    Then what is given back at the end of a request is given back once, also when it was taken after the end
