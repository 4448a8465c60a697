Feature: Runners that are not alike
  24 gateways in virtual time; what others saw and sent is known 0.3 s later.

  Scenario Outline: Speeds that all gateways learn together come near to knowing them
    Given runners of speeds 0.7, 0.7 and 1.7 that are <kind>, at a load of <load> of their room
    Then requests take at most <of means> of their time with means of each gateway's own requests
    And at most <of known> of their time where all speeds are known beforehand

    Examples:
      | kind    | load | of means | of known |
      | plain   | 0.5  | 1.00     | 1.10     |
      | plain   | 0.9  | 1.05     | 1.10     |
      | engines | 0.5  | 0.95     | 1.10     |
      | engines | 0.9  | 1.02     | 1.10     |

  Scenario: Spells of 2.5 times the usual time in 15 of 100 requests make no runner slow
    Then among 20 plain runners with such spells none is called slow or ejected in 12 s

  Scenario Outline: A runner that fails part of its requests is ejected, and no other
    Then a runner that is to <fault> on <share> of its requests is out after at most <most> requests

    Examples:
      | fault | share | most |
      | shed  | 1     | 60   |
      | shed  | 0.5   | 60   |
      | reset | 0.5   | 60   |
      | reset | 0.25  | 80   |
      | hang  | 0.5   | 60   |
      | mute  | 0.5   | 60   |

  Scenario: A runner that takes 5.5 times as long gets few requests
    Then a runner that turns slow gets at most a third of its share from 2 s later on

  Scenario: However many fail, half of the usual places stay in use
    Then of 100 runners of which 40 fail, at least 30 of those and no other are out after 5 s
    And where all runners fail 0.9 or 1.0 of their requests, none is taken out of use
    And while half of the runners are being replaced and 20 of the rest fail, none is taken out of use

  Scenario: A runner comes back by trials that went well
    Then a runner whose fault ends is in use again within 20 s, and one that goes on failing is not
    And one that gets no repeatable work gets none while it is out, and half of its share 30 s later, then 60, 120, 240 and 240 s
    And a request that may not go to the runner that is out, or that failed at one, is drawn among the others only
    And at 0.5 requests a second for each runner, a runner that is well again is in use within 130 s
    And so is one of a service without repeatable work, within 35 s, but none that went on failing trials

  Scenario: What a slow client, a slow store or a quiet kind of work does is no failure of the runner
    Then a client that is held for 20 s makes no silent try, and a runner that says nothing after that does
    And an answer that waits 1500 ms for the replicas after its end makes no silent try
    And work that is quiet for 5 s beside work that takes 40 ms makes none, and one that hangs is silent within 60 s

  Scenario: One gateway can't eject a runner alone
    Then a gateway that tells failures of all runners ejects none of them
    And whatever a gateway saw, what it tells of a runner stays within its bounds
