Feature: The compact member table equals the naive one

  Scenario: Any rows in any order
    Then any sequence of rows leaves the table as a plain dictionary would
