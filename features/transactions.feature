@processes
Feature: Transactions stay apart
  Statements of one caller's transaction never run inside another caller's transaction.

  Scenario Outline: Transactions stay whole during <fault>
    Given callers write, read and move between daemons
    When the fault "<fault>" comes and goes
    Then every transaction left all of its rows or none
    And no other promise was broken

    Examples:
      | fault                            |
      | statements slow                  |
      | commit dropped before            |
      | entry killed + replica killed    |

  Scenario Outline: A transaction that is open when <fault> is rolled back
    Given callers write, read and move between daemons
    And a caller holds a transaction open through the entry
    When the fault "<fault>" comes
    Then its COMMIT is <answer>
    When the installation recovers
    Then every transaction left all of its rows or none
    And no other promise was broken

    Examples:
      | fault          | answer              |
      | entry killed   | lost                |
      | owner killed   | transaction_aborted |
      | primary killed | transaction_aborted |
      | owner frozen   | transaction_aborted |
