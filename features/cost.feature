Feature: Cost of processes

  Scenario: The program runs from code compiled at build time, with any heap size
    Given the program as the build leaves it
    When it is started with "--max-old-space-size=160 --max-semi-space-size=4"
    Then it runs from its compiled code
    When it is started with "--max-old-space-size=200"
    Then it runs from its compiled code

  Scenario: Compiled code of another build of node is rejected, and the program runs from source
    Given the program as the build leaves it
    When it is started with "--no-opt"
    Then it runs from source and says so

  Scenario: A message survives encoding, whatever its strings
    Then any reservation survives encoding, with strings in UTF-8 after their lengths

  Scenario: An idle gateway that reports to an aggregator sends half as often
    Given a gateway in virtual time that others add up
    When it has nothing to report for 11 seconds
    Then it sent 10 times in the first second and 50 times in the last 10
    When it gets a request right after that
    Then the request is reported within 200 milliseconds, and reports are sent 10 times in the second after

  Scenario: An idle aggregator sends as often as a busy one
    Given a gateway in virtual time that adds up for its zone
    When it has nothing to report for 11 seconds
    Then it sent 10 times in the first second and 100 times in the last 10
