"""Identifier types shared by every package."""

from typing import NewType

RequestId = NewType("RequestId", str)
Key = NewType("Key", str)
ContentHash = NewType("ContentHash", str)
CustomerName = NewType("CustomerName", str)
ServiceName = NewType("ServiceName", str)
CallName = NewType("CallName", str)
VersionName = NewType("VersionName", str)
WorkerId = NewType("WorkerId", str)
EntryName = NewType("EntryName", str)
Incarnation = NewType("Incarnation", str)
RecordId = NewType("RecordId", str)
Offset = NewType("Offset", int)
