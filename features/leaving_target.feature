@processes
Feature: Leaving targets and shutdown
  A leaving target gets no new work after a few seconds, and no request in flight is cut off.

  Scenario Outline: The <role> leaves under load
    Given callers write, read and move between daemons
    When the <role> announces that it leaves
    Then the leaving target gets no new statement after at most 5 s
    And no request in flight was cut off
    When the installation recovers
    Then no other promise was broken

    Examples:
      | role    |
      | replica |
      | primary |

  Scenario Outline: The <role> daemon is stopped under load
    Given callers write and read without transactions
    And the fault "statements slow" comes
    When the <role> daemon is told to stop
    Then the daemon ended with code 0
    And no request in flight was cut off
    When the installation recovers
    Then no other promise was broken

    Examples:
      | role  |
      | owner |
      | entry |

  Scenario Outline: A transaction that is open when the <role> daemon is stopped can commit
    Given callers write, read and move between daemons
    And a caller holds a transaction open through the entry
    When the <role> daemon is told to stop
    Then the daemon ended with code 0
    And no request in flight was cut off
    When the installation recovers
    Then no other promise was broken

    Examples:
      | role  |
      | owner |
      | entry |
