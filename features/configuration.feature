@processes
Feature: Configuration
  A confirmed plan takes effect on every daemon within seconds and never reverts.

  Scenario Outline: A confirmed plan is in force everywhere with <fault>
    Given callers write and read without transactions
    And the versions of the configuration are watched
    When a plan is confirmed with "<fault>"
    Then it is in force on every daemon within 7 s
    And no daemon went back to an older version
    And exactly one operator is told that the plan is in force
    When the installation recovers
    Then no other promise was broken

    Examples:
      | fault                                   |
      | no fault                                |
      | a frozen daemon that wakes              |
      | the platform down right after           |
      | a restart while the platform is down    |
      | the answer of the platform lost         |
      | two operators at once                   |
