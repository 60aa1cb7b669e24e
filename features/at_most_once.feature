@processes
Feature: Keyed requests run once
  A request with a key runs at most once although callers and daemons repeat it.

  Scenario Outline: Requests run at most once during <fault>
    Given callers write, read and move between daemons
    When the fault "<fault>" comes and goes
    Then no request ran twice
    And no other promise was broken

    Examples:
      | fault |
      | commit dropped after |
      | commit dropped before + owner killed |
      | entry killed |
      | owner frozen + primary frozen |
