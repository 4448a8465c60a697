Feature: The checks of the fault soak
  Scenario Outline: A client of the soak detects a violated guarantee
    Given a fake gateway with the fault "<fault>"
    When clients of the soak send requests to it for 600 milliseconds
    Then exactly this guarantee is reported as violated: "<guarantee>"

    Examples:
      | fault           | guarantee    |
      | nothing         |              |
      | foreignAnswer   | own answer   |
      | endsEarly       | whole answer |
      | skipsEvent      | whole answer |
      | changesText     | whole answer |
      | runsTwice       | at most once |
      | refusesAfterRun | not run      |
      | ignoresBudget   | budget       |
      | forgetsTurns    | history      |
      | mixesChains     | history      |
      | namesAnother    | tenant       |
      | passesKey       | tenant       |

  Scenario Outline: The configuration check detects a violated guarantee
    Given a fake gateway with the fault "<fault>"
    And a configuration change that added a route and dropped <dropped> others, acknowledged <age> milliseconds ago
    When its configuration is looked at for 600 milliseconds while it is <touch>
    Then exactly this guarantee is reported as violated: "<guarantee>"

    Examples:
      | fault         | dropped | age  | touch        | guarantee     |
      | nothing       | 0       | 2500 | in touch     |               |
      | nothing       | 1       | 2500 | in touch     | configuration |
      | forgetsRoutes | 0       | 2500 | in touch     | configuration |
      | forgetsRoutes | 0       | 500  | in touch     |               |
      | returnsToOlder | 0       | 500  | in touch     | configuration |
      | forgetsRoutes | 0       | 2500 | out of touch |               |

  Scenario Outline: The evacuation check detects a request to a runner of an evacuated zone
    When a request arrives in a zone evacuated <age> milliseconds ago, from a gateway that is <touch>
    Then exactly this guarantee is reported as violated: "<guarantee>"

    Examples:
      | age  | touch        | guarantee  |
      | 2500 | in touch     | evacuation |
      | 1500 | in touch     |            |
      | 2500 | out of touch |            |

  Scenario Outline: A route that a newer acknowledged change drops need not be served
    Given a fake gateway with the fault "forgetsRoutes"
    And a configuration change that added a route and dropped 0 others, acknowledged 2500 milliseconds ago
    And a change acknowledged 500 milliseconds ago that <drops> that route
    When its configuration is looked at for 600 milliseconds while it is in touch
    Then exactly this guarantee is reported as violated: "<guarantee>"

    Examples:
      | drops | guarantee     |
      | drops |               |
      | keeps | configuration |

  Scenario Outline: The tenant check detects a violated guarantee
    Given a fake gateway with the fault "<fault>"
    When the tenant check runs for 3500 milliseconds with a key that was revoked <age> milliseconds ago
    Then exactly this guarantee is reported as violated: "<guarantee>"

    Examples:
      | fault         | age  | guarantee      |
      | nothing       | 4500 |                |
      | servesOldKeys | 4500 | key taken away |

    @known-red
    Examples:
      | fault        | age  | guarantee |
      | ignoresLimit | 4500 | limit     |

  Scenario Outline: The check of resumed streams detects a violated guarantee
    Given a fake gateway with the fault "<fault>"
    When streams are resumed at it until enough resumptions were due
    Then exactly this guarantee is reported as violated: "<guarantee>"

    Examples:
      | fault              | guarantee   |
      | nothing            |             |
      | mixesVersions      | one version |
      | mixesUnnamed       | one version |
      | mixesServices      | one service |
      | repeatsEvents      | whole answer |
      | endsResumedEarly   | whole answer |
      | refusesResumptions | resumption  |
      | refusesUnnamed     | resumption  |

  Scenario Outline: A client that keeps its connections detects a violated guarantee
    Given a fake gateway with the fault "<fault>"
    When clients that keep their connections send requests to it for 1000 milliseconds while it is stopped
    Then exactly this guarantee is reported as violated: "<guarantee>"

    Examples:
      | fault           | guarantee     |
      | nothing         |               |
      | foreignAnswer   | own answer    |
      | answersTwice    | own answer    |
      | endsEarly       | own answer    |
      | runsTwice       | at most once  |
      | refusesAfterRun | not run       |
      | mixesChains     | own request   |
      | runsAtOnce      | one at a time |
      | closesEarly     | planned stop  |

  Scenario Outline: The check of planned stops excuses a request only for what struck it
    When a request that ran, sent <sent> milliseconds after <signal>, is cut <cut> milliseconds after it, and <circumstance>
    Then exactly this guarantee is reported as violated: "<guarantee>"

    Examples:
      | signal  | sent  | cut  | circumstance                                 | guarantee    |
      | SIGTERM | -500  | 300  | nothing else happened                        | planned stop |
      | SIGTERM | 2500  | 3300 | nothing else happened                        | planned stop |
      | SIGTERM | 5000  | 7400 | nothing else happened                        | planned stop |
      | SIGTERM | 8800  | 9100 | nothing else happened                        |              |
      | SIGTERM | -900  | -300 | nothing else happened                        |              |
      | SIGTERM | -2960 | 0    | nothing else happened                        |              |
      | SIGTERM | -500  | 300  | its client had left                          |              |
      | SIGTERM | -500  | 300  | its runner broke it off                      |              |
      | SIGTERM | -500  | 300  | its gateway was struck 3700 milliseconds ago |              |
      | SIGTERM | -500  | 300  | its gateway was struck 4900 milliseconds ago | planned stop |
      | SIGTERM | -500  | 300  | another gateway was struck 3700 milliseconds ago | planned stop |
      | SIGTERM | -500  | 300  | the runners were struck 3700 milliseconds ago |             |
      | SIGTERM | -500  | 300  | the runners were struck 4900 milliseconds ago | planned stop |
      | SIGHUP  | 1500  | 2500 | nothing else happened                        | planned stop |
      | SIGHUP  | 2500  | 3000 | nothing else happened                        |              |

  Scenario: A soak fails if no slow reader ever receives a complete stream
    Then a soak with 30 long streams fails if 0 of them are received completely
    And a soak with 30 long streams passes if 1 of them is received completely
    And a soak with 3 long streams passes if 0 of them are received completely
