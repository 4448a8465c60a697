Feature: The checks of the fault soak
  Scenario Outline: A client of the soak notices a promise that is broken
    Given a gateway that lies: "<lie>"
    When clients of the soak work with it for 600 milliseconds
    Then they tell of "<promise>" and of nothing else

    Examples:
      | lie             | promise      |
      | nothing         |              |
      | foreignAnswer   | own answer   |
      | endsEarly       | whole answer |
      | skipsEvent      | whole answer |
      | runsTwice       | at most once |
      | refusesAfterRun | not run      |
      | ignoresBudget   | budget       |
      | forgetsTurns    | history      |
      | mixesChains     | history      |
