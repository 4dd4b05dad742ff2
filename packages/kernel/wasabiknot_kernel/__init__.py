"""Pure scheduling decisions: typed messages in, typed effects out."""
