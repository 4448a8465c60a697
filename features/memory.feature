Feature: What engines keep is asked after a start
  Scenario: A gateway that has forgotten everything learns what its engines keep
    Given a gateway that has just started beside 3 others
    When engine "e1" that keeps "a:500,b:300" and plain runner "r1" are seen
    And 400 milliseconds pass after the start
    Then 800 tokens of the prompt "a:500,b:900" are known to be at "e1"
    And only "e1" was asked
    And its peers are told what "e1" keeps

  Scenario: All gateways start together and know of no others yet: they hear from one another in time
    Given a gateway that has just started beside 0 others
    When 41 engines are seen
    And 100 milliseconds pass after the start
    And 30 peers are heard, and each engine is told to keep 20 parts
    And 400 milliseconds pass after the start
    Then at most 8 engines were asked

  Scenario: An engine that is seen later begins empty and is not asked
    Given a gateway that has just started beside 3 others
    When 5000 milliseconds pass after the start
    And engine "e1" that keeps "a:500,b:300" and plain runner "r1" are seen
    And 400 milliseconds pass after the start
    Then 0 tokens of the prompt "a:500,b:900" are known to be at "e1"

  Scenario: With many gateways each asks a few of the engines
    Given a gateway that has just started beside 79 others
    When 400 engines are seen
    And 400 milliseconds pass after the start
    Then between 15 and 75 engines were asked

  Scenario: An engine that lies changes what is believed and nothing else
    Then any bytes are read as a list of kept parts or refused
