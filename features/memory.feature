Feature: Discovery of the engines' prompt caches after a gateway starts
  Scenario: A restarted gateway learns what its engines have cached
    Given a gateway that has just started next to 3 others
    When engine "e1" with "a:500,b:300" cached and plain runner "r1" are added
    And 400 milliseconds pass after the start
    Then 800 tokens of the prompt "a:500,b:900" are known to be cached at "e1"
    And only "e1" was queried
    And the cached parts of "e1" are announced to its peers

  Scenario: Gateways that start together without knowing of each other learn of each other in time
    Given a gateway that has just started next to 0 others
    When 41 engines are added
    And 100 milliseconds pass after the start
    And 30 peers are heard from, and each engine is reported to have 20 parts cached
    And 400 milliseconds pass after the start
    Then at most 8 engines were queried

  Scenario: An engine that is added later starts empty and is not queried
    Given a gateway that has just started next to 3 others
    When 5000 milliseconds pass after the start
    And engine "e1" with "a:500,b:300" cached and plain runner "r1" are added
    And 400 milliseconds pass after the start
    Then 0 tokens of the prompt "a:500,b:900" are known to be cached at "e1"

  Scenario: With many gateways each of them queries a few of the engines
    Given a gateway that has just started next to 79 others
    When 400 engines are added
    And 400 milliseconds pass after the start
    Then between 15 and 75 engines were queried

  Scenario: A wrong list from an engine changes the cache estimate and nothing else
    Then any bytes are decoded as a list of cached parts or refused
