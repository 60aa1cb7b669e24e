@processes
Feature: Not run means not run
  A request that was answered "not run" left no row.

  Scenario Outline: Refused requests leave no row during <fault>
    Given callers write, read and move between daemons
    When the fault "<fault>" comes and goes
    Then no request answered "not run" left a row
    And no other promise was broken

    Examples:
      | fault |
      | commit dropped before |
      | primary cut from clients |
      | statements slower than deadlines |
      | owner killed |
      | replicas paused |
