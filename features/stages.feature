Feature: Stages of a request
  Between ingress and its first attempt a request passes stages; each lets it continue, makes it wait, or refuses it.

  Scenario: A refusal ends the pipeline, and later stages don't run
    Then a refusal in the second of three steps names its stage, and the third step does not run

  Scenario: Stages of one step start together, and all must let the request continue
    Then a step ends when the last of its stages resumes, whatever the order

  Scenario: The result of a waiting stage is ignored once the request has finished
    Then a stage that resumes after the request has finished neither continues nor refuses it

  Scenario: What a request holds is released once, however late it was acquired
    Then a listener for the end of a request is called once, also when it is added after the end
