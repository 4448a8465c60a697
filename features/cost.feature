Feature: What processes do costs little

  Scenario: The program runs from code compiled at the build, under any sizes of the heap
    Given the program as the build leaves it
    When it is started with "--max-old-space-size=160 --max-semi-space-size=4"
    Then it runs from its compiled code
    When it is started with "--max-old-space-size=200"
    Then it runs from its compiled code

  Scenario: Compiled code of another build of node is said to be of no use, and the program runs from its text
    Given the program as the build leaves it
    When it is started with "--no-opt"
    Then it runs from its text and says so

  Scenario: A message is read as it was written, whatever its texts
    Then any reservation comes out of its bytes as it went in, the texts in UTF-8 behind their lengths

  Scenario: A gateway that others add up and that has nothing to tell, tells half as often
    Given a gateway in virtual time that others add up
    When it has nothing to tell for 11 seconds
    Then it told 10 times in the first second and 50 times in the last 10
    When it has a request at once after that
    Then that is told within 200 milliseconds, and 10 times in the second after

  Scenario: A gateway whose word is passed on tells as often with nothing to tell
    Given a gateway in virtual time that adds up for its zone
    When it has nothing to tell for 11 seconds
    Then it told 10 times in the first second and 100 times in the last 10
