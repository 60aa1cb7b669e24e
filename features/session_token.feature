Feature: Session tokens
  A caller that moves to another daemon carries its floor in a token.

  Scenario Outline: A target serves a roaming session only when it covers the token
    Given a token for database "orders" at term <term> offset <offset>
    When a target has applied term <applied_term> offset <applied_offset>
    Then the target <verdict> serve the session

    Examples:
      | term | offset | applied_term | applied_offset | verdict  |
      | 1    | 5      | 1            | 5              | may      |
      | 1    | 5      | 1            | 4              | must not |
      | 2    | 5      | 1            | 9              | must not |
