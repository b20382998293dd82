"""What becomes of submissions when there is more work than room."""
