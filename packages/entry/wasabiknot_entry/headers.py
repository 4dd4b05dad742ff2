"""Names of the HTTP headers between callers and entries."""

KEY = "Idempotency-Key"
CUSTOMER = "Wasabiknot-Customer"
REQUEST_ID = "Wasabiknot-Request-Id"
FORWARDED = "Wasabiknot-Forwarded"
